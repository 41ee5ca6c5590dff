//! Checks of whether a minion can take a task.
//!
//! Placement and the log lines on waiting tasks share these checks, so that their results cannot
//! differ. The checks are inlined across modules, because every minion is checked for each waiting
//! task.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::isolation_limits::must_be_isolated;
use super::minion::Minion;
use super::rejection::Rejection;
use super::run::reserved_resources;
use crate::tuning::{MAX_BEST_EFFORT_MEMORY_PERCENT, MAX_PERSISTENT_CPU_PERCENT};
use crate::{Demand, Now, QueueTerms, StepSpec, TaskId};

/// What a task requires of a minion.
#[derive(Debug, Clone, Copy)]
pub(super) struct TaskRequirements<'a> {
    task: TaskId,
    spec: &'a StepSpec,
    terms: &'a QueueTerms,
    /// Whether the task ran before, in which case it may use the reserve for short tasks.
    ran_before: bool,
    /// Number of minions that have crashed under the task since it was last cleared, without
    /// crashes that are put down to other tasks.
    crashes: usize,
}

impl TaskRequirements<'_> {
    /// Returns how many minions have crashed under the task since it was last cleared, without
    /// crashes that are put down to other tasks.
    pub(super) const fn crashes(&self) -> usize {
        self.crashes
    }
}

impl Coordinator {
    /// Returns what a task requires of a minion, or `None` if its job is unknown.
    pub(super) fn requirements<'a>(
        &'a self,
        task: TaskId,
        spec: &'a StepSpec,
    ) -> Option<TaskRequirements<'a>> {
        let terms = &self.jobs.get(&task.job)?.record.terms;
        let ran_before = self.task_record(task).is_some_and(|record| record.run > 0);
        let crashes = self.unexplained_crash_count(task);
        Some(TaskRequirements { task, spec, terms, ran_before, crashes })
    }

    /// Returns why a minion cannot take a task, or `None` if it can.
    #[inline]
    pub(super) fn task_rejection(
        &self,
        requirements: &TaskRequirements<'_>,
        minion: &Minion,
        now: Now,
    ) -> Option<Rejection> {
        let TaskRequirements { task, spec, terms, ran_before, crashes } = *requirements;
        if !self.are_evacuations_known(now) {
            return Some(Rejection::EvacuationsUnknown);
        }
        let rejection = step_rejection(minion, &terms.service, spec, now);
        if rejection.is_some() {
            return rejection;
        }
        if !is_below_limit_per_minion(task, spec, minion) {
            return Some(Rejection::PerMinionLimit);
        }
        if crashes > 0 && minion.may_be_down(now) {
            return Some(Rejection::NotResponding);
        }
        let is_beside_suspect = must_be_isolated(crashes)
            && (self.starts_isolated_tasks(minion, task, crashes)
                || self.prevents_lone_start(minion, task, now));
        if is_beside_suspect {
            return Some(Rejection::BesideSuspect);
        }
        if terms.needs_approval && self.approvals.ticket(task, &minion.info.id, now).is_none() {
            return Some(Rejection::NoApproval);
        }
        let is_reserved = !ran_before && !leaves_short_task_reserve(minion, spec);
        is_reserved.then_some(Rejection::ReservedForShort)
    }
}

/// Returns why a minion cannot take any task of a step, or `None` if it can.
///
/// Checks the service and the label before the minion's condition, so that a reported minion of
/// another service is always counted as [`Rejection::OtherService`].
#[inline]
pub(super) fn step_rejection(
    minion: &Minion,
    service: &Name,
    spec: &StepSpec,
    now: Now,
) -> Option<Rejection> {
    if !minion.reported {
        return Some(if minion.linked { Rejection::NotReported } else { Rejection::NotLinked });
    }
    if minion.info.service != *service {
        return Some(Rejection::OtherService);
    }
    if !spec.required_label.is_empty() && !minion.has_label(&spec.required_label) {
        return Some(Rejection::MissingLabel);
    }
    minion_rejection(minion, now).or_else(|| capacity_rejection(minion, spec))
}

/// Returns why a minion cannot take any new run, or `None` if it can.
#[inline]
fn minion_rejection(minion: &Minion, now: Now) -> Option<Rejection> {
    if !minion.linked {
        return Some(Rejection::NotLinked);
    }
    if !minion.polled {
        return Some(Rejection::NotPolled);
    }
    if !minion.responsive || minion.left_order_unanswered {
        return Some(Rejection::NotResponding);
    }
    if now.steady_ms < minion.quarantined_until_ms {
        return Some(Rejection::Quarantined);
    }
    if minion.info.draining {
        return Some(Rejection::Draining);
    }
    minion.domain_evacuated.then_some(Rejection::DomainEvacuated)
}

/// Returns why a minion has no capacity for a task of a step, or `None` if it has capacity.
#[inline]
fn capacity_rejection(minion: &Minion, spec: &StepSpec) -> Option<Rejection> {
    if spec.best_effort && minion.over_latency_bound_ms > 0 {
        return Some(Rejection::LatencyOverBound);
    }
    let fits = reserved_resources(spec).fits(available_resources(minion, spec));
    (!fits).then_some(Rejection::NoCapacity)
}

/// Returns whether a minion can take a task of a step, apart from the limit per minion, the
/// approval and the reserve for short tasks.
pub(super) fn is_eligible_for_step(
    minion: &Minion,
    service: &Name,
    spec: &StepSpec,
    now: Now,
) -> bool {
    step_rejection(minion, service, spec, now).is_none()
}

/// Returns whether a minion runs fewer tasks of a step than the step allows on one minion.
#[inline]
pub(super) fn is_below_limit_per_minion(task: TaskId, spec: &StepSpec, minion: &Minion) -> bool {
    if spec.max_per_minion == 0 {
        return true;
    }
    let first = TaskId { index: 0, ..task };
    let last = TaskId { index: u32::MAX, ..task };
    (minion.runs.range(first..=last).count() as u32) < spec.max_per_minion
}

/// Returns whether a persistent task leaves a reserve of processors for short tasks; true for all
/// other tasks.
///
/// [`Coordinator::task_rejection`] exempts tasks that ran before, because users notice their
/// absence.
#[inline]
fn leaves_short_task_reserve(minion: &Minion, spec: &StepSpec) -> bool {
    let reserve = minion.info.capacity.milli_cpus * (100 - MAX_PERSISTENT_CPU_PERCENT) / 100;
    !spec.persistent
        || spec.best_effort
        || spec.demand.milli_cpus + reserve <= minion.unreserved().milli_cpus
}

/// Returns the unreserved resources of a minion without those that are held for persistent tasks;
/// for best-effort steps without the memory that is kept free for other tasks.
#[inline]
pub(super) fn available_resources(minion: &Minion, spec: &StepSpec) -> Demand {
    let mut free = minion.unreserved() - minion.held;
    if spec.best_effort {
        let reserve = minion.info.capacity.memory_mb * (100 - MAX_BEST_EFFORT_MEMORY_PERCENT) / 100;
        free.memory_mb -= reserve;
    }
    free
}
