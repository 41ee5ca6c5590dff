//! Which bound keeps a minion from taking a task.
//!
//! Placement and the lines that tell why a task waits both ask here, so that they cannot differ.
//! Each waiting task asks every minion, so that the checks are inlined across modules.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::minion::Minion;
use super::placement::{available_for, leaves_short_task_reserve, spread_allows};
use super::rejection::Rejection;
use super::run::reserved;
use crate::{Now, QueueTerms, StepSpec, TaskId};

/// What a task asks of a minion.
#[derive(Debug, Clone, Copy)]
pub(super) struct TaskRequirements<'a> {
    task: TaskId,
    spec: &'a StepSpec,
    terms: &'a QueueTerms,
    /// Whether it ran before, in which case it takes its room back.
    ran: bool,
}

impl Coordinator {
    /// Returns what a task asks of a minion.
    pub(super) fn needs<'a>(
        &'a self,
        task: TaskId,
        spec: &'a StepSpec,
    ) -> Option<TaskRequirements<'a>> {
        let terms = &self.jobs.get(&task.job)?.record.terms;
        let ran = self.task_record(task).is_some_and(|record| record.run > 0);
        Some(TaskRequirements { task, spec, terms, ran })
    }

    /// Returns why a minion does not take a task, or `None` if it does.
    #[inline]
    pub(super) fn rejection(
        &self,
        needs: &TaskRequirements<'_>,
        minion: &Minion,
        now: Now,
    ) -> Option<Rejection> {
        let TaskRequirements { task, spec, terms, ran } = *needs;
        let bar = step_rejection(minion, &terms.service, spec, now);
        if bar.is_some() {
            return bar;
        }
        if !spread_allows(task, spec, minion) {
            return Some(Rejection::Spread);
        }
        if terms.needs_approval && self.approvals.ticket(task, &minion.info.id, now).is_none() {
            return Some(Rejection::NoApproval);
        }
        let kept = !ran && !leaves_short_task_reserve(minion, spec);
        kept.then_some(Rejection::ReservedForShort)
    }
}

/// Returns why a minion does not take any task of a step, or `None` if it does.
///
/// What never changes comes first, so that a minion of another service counts as that one, whatever
/// else keeps it out.
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
        return Some(Rejection::Label);
    }
    closed(minion, now).or_else(|| full(minion, spec))
}

/// Returns why no new run at all may be placed on a minion.
#[inline]
fn closed(minion: &Minion, now: Now) -> Option<Rejection> {
    if !minion.linked {
        return Some(Rejection::NotLinked);
    }
    if !minion.polled {
        return Some(Rejection::NotPolled);
    }
    if !minion.responsive {
        return Some(Rejection::NotResponding);
    }
    if now.steady_ms < minion.quarantined_until_ms {
        return Some(Rejection::Quarantined);
    }
    minion.info.draining.then_some(Rejection::Draining)
}

/// Returns why a minion cannot hold a task of a step beside what it has.
#[inline]
fn full(minion: &Minion, spec: &StepSpec) -> Option<Rejection> {
    if spec.best_effort && minion.over_bound_ms > 0 {
        return Some(Rejection::OverBound);
    }
    let fits = reserved(spec).fits(available_for(minion, spec));
    (!fits).then_some(Rejection::NoCapacity)
}
