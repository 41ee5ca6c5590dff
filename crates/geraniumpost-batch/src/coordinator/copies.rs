//! Second copies of runs that take far longer than others of their class.
//!
//! A copy is a second run of a task on another minion. The first of both that ends as done
//! completes the task. A copy is in no record: its number is above that of the task's run, and a successor
//! that sees it as an unknown run stops it, which the step allows. `copy_events` says how the ends,
//! results and losses of copies are handled.

use geraniumpost_schema::Name;

use super::evacuated_domains::StartOrderPermission;
use super::run::{OrderState, Run};
use super::{Coordinator, Effect};
use crate::stragglers::{ExpectedDuration, ObservedRun};
use crate::{Feature, Now, Order, OrderKind, Place, StepSpec, TaskId, ToAgent};

/// Maximum number of copies, in percent of all runs.
const MAX_COPIES_PERCENT: usize = 3;
/// Number of copies that are always within the limit.
const MIN_COPY_LIMIT: usize = 2;
/// Share of a service's processors that must be free for a copy, in percent. Short urgent tasks
/// usually need about a twentieth of the fleet, and must not wait for copies.
const MIN_FREE_CPU_PERCENT: i64 = 5;

/// Numbers of copies since the start of this coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CopyCounts {
    /// Copies that were ordered.
    pub started: u64,
    /// Copies that completed their task.
    pub won: u64,
    /// Copies that took the place of a run that failed or was lost.
    pub promoted: u64,
    /// Copies that were stopped, refused or lost, or that failed.
    pub wasted: u64,
}

impl Coordinator {
    /// Returns the numbers of copies since the start of this coordinator.
    pub const fn copy_counts(&self) -> CopyCounts {
        self.copy_counts
    }

    /// Starts copies of stragglers while there is room that no task waits for.
    pub(super) fn start_copies(&mut self, now: Now) {
        let is_off = !self.features.contains(Feature::Stragglers);
        if is_off || self.tasks_wait_for_room || self.placement_due {
            return;
        }
        let limit = (self.runs.len() * MAX_COPIES_PERCENT / 100).max(MIN_COPY_LIMIT);
        let free = limit.saturating_sub(self.copies.len());
        if free == 0 {
            return;
        }
        let stragglers = self.runs.iter().filter_map(|(task, run)| {
            let (observed, expected) = self.straggler(*task, run, now)?;
            Some((observed.total_ms() - observed.elapsed_ms, *task, observed, expected))
        });
        let mut stragglers: Vec<_> = stragglers.collect();
        // The run that would take longest gains most.
        stragglers.sort_unstable_by_key(|(remaining_ms, task, ..)| {
            (std::cmp::Reverse(*remaining_ms), *task)
        });
        for (_, task, observed, expected) in stragglers.into_iter().take(free) {
            self.start_copy(task, observed, expected, now);
        }
    }

    /// Returns what is known of a run and of its class if the run is worth a copy.
    fn straggler(
        &self,
        task: TaskId,
        run: &Run,
        now: Now,
    ) -> Option<(ObservedRun, ExpectedDuration)> {
        let spec = self.step_spec(task)?;
        let OrderState::Started { .. } = run.order else { return None };
        if !may_have_copies(spec) || self.copies.contains_key(&task) {
            return None;
        }
        let observed = observe(run, now)?;
        let class = self.work_class(task)?;
        let expected = self.run_durations.expected(&class, spec.estimate_ms)?;
        let is_worth = observed.is_worth_a_copy(expected) && self.allows_copy(task, spec);
        is_worth.then_some((observed, expected))
    }

    /// Returns whether a task's job and past runs allow a copy now.
    ///
    /// Both runs may fail, and a task must never be started after its last attempt has failed.
    fn allows_copy(&self, task: TaskId, spec: &StepSpec) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let failures = self.task_record(task).map_or(0, |record| record.failures);
        !job.record.state.is_final()
            && !job.record.terms.needs_approval
            && failures + 1 < job.record.terms.max_attempts
            && !spec.is_serving()
            && spec.max_per_minion == 0
            && self.crash_count(task) == 0
    }

    fn start_copy(
        &mut self,
        task: TaskId,
        observed: ObservedRun,
        expected: ExpectedDuration,
        now: Now,
    ) {
        let Some(spec) = self.step_spec(task).cloned() else { return };
        let Some((original, number)) =
            self.runs.get(&task).map(|run| (run.place.minion.clone(), run.number))
        else {
            return;
        };
        if !self.has_free_processors(&original) {
            return;
        }
        let Some(minion) = self.choose_minion_for_copy(task, &spec, &original, now) else { return };
        let permission = self.minion_start_permission(&minion, now);
        let StartOrderPermission::Allowed { expires_ms } = permission else { return };
        let Some(agent) = self.minions.get(&minion).map(|minion| minion.agent.clone()) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let next = job.next_placements.entry(task).or_default();
        next.last_copy_run = next.last_copy_run.max(number) + 1;
        let copy_number = next.last_copy_run;
        let kind = OrderKind::Start {
            payload: job.record.spec.payload.clone(),
            checkpoint: next.checkpoint.clone(),
            ticket: Name::default(),
            expires_ms,
            pace_percent: None,
        };
        let place = Place { minion: minion.clone(), agent };
        let order = OrderState::Sent { at_ms: now.steady_ms };
        let mut copy = Run::new(place, copy_number, order, &spec, now.steady_ms);
        copy.record_start_sent(now.steady_ms);
        self.insert_copy(task, copy);
        self.send_copy_order(task, kind);
        self.record_start_in_domain(&minion, now);
        self.copy_counts.started += 1;
        self.log(format!(
            "decision=copy job={} task={task} run={copy_number} minion={minion} \
             original={original} original_run={number} elapsed_ms={} percent={} total_ms={} \
             median_ms={} slow_ms={}",
            task.job,
            observed.elapsed_ms,
            observed.progress_percent,
            observed.total_ms(),
            expected.median_ms,
            expected.slow_ms
        ));
    }

    /// Returns whether a share of the processors is free on the minions of a minion's service.
    fn has_free_processors(&self, id: &Name) -> bool {
        let Some(service) = self.minions.get(id).map(|minion| &minion.info.service) else {
            return false;
        };
        let usable = self.minions.values().filter(|minion| {
            minion.reported
                && minion.linked
                && minion.responsive
                && !minion.info.draining
                && minion.info.service == *service
        });
        let (free, all) = usable.fold((0, 0), |(free, all), minion| {
            (free + minion.unreserved().milli_cpus.max(0), all + minion.info.capacity.milli_cpus)
        });
        free * 100 >= all * MIN_FREE_CPU_PERCENT
    }

    /// Records how long a run took that has ended as done.
    pub(super) fn record_duration(&mut self, task: TaskId, run: Option<&Run>, now: Now) {
        let Some(started_ms) = run.and_then(|run| run.started_ms) else { return };
        let Some(class) = self.work_class(task) else { return };
        let Some(spec) = self.step_spec(task).filter(|spec| !spec.persistent && !spec.best_effort)
        else {
            return;
        };
        let (estimate_ms, duration_ms) = (spec.estimate_ms, now.steady_ms - started_ms);
        self.run_durations.record(&class, duration_ms, estimate_ms);
    }

    /// Inserts a copy and reserves its resources.
    pub(super) fn insert_copy(&mut self, task: TaskId, copy: Run) {
        let Some(minion) = self.minions.get_mut(&copy.place.minion) else { return };
        minion.copies.insert(task);
        minion.reserved += copy.reserved;
        self.copies.insert(task, copy);
    }

    /// Removes a copy and releases its resources.
    pub(super) fn remove_copy(&mut self, task: TaskId) -> Option<Run> {
        let copy = self.copies.remove(&task)?;
        if let Some(minion) = self.minions.get_mut(&copy.place.minion) {
            minion.copies.remove(&task);
            minion.reserved -= copy.reserved;
        }
        self.placement_due = true;
        Some(copy)
    }

    /// Stops a copy. It keeps its resources until it has ended.
    pub(super) fn stop_copy(&mut self, task: TaskId, now: Now) {
        if self.copies.get(&task).is_none_or(Run::is_stopping) {
            return;
        }
        self.send_copy_stop(task, now);
    }

    pub(super) fn send_copy_stop(&mut self, task: TaskId, now: Now) {
        self.send_copy_order(task, OrderKind::Stop);
        if let Some(copy) = self.copies.get_mut(&task) {
            copy.order = OrderState::Stopping { at_ms: now.steady_ms };
        }
    }

    fn send_copy_order(&mut self, task: TaskId, kind: OrderKind) {
        let Some(copy) = self.copies.get(&task) else { return };
        let Some(minion) = self.minions.get(&copy.place.minion).filter(|minion| minion.linked)
        else {
            return;
        };
        let order = Order { minion: copy.place.minion.clone(), task, run: copy.number, kind };
        let agent = minion.agent.clone();
        self.effects.push(Effect::Send { agent, message: ToAgent::Order(order) });
    }
}

/// Returns whether tasks of a step may have copies.
///
/// Members of a gang end together, persistent tasks do not end, and a best-effort task is slow
/// because others have the processors.
pub(super) const fn may_have_copies(spec: &StepSpec) -> bool {
    spec.copies_allowed && !spec.gang && !spec.persistent && !spec.best_effort
}

fn observe(run: &Run, now: Now) -> Option<ObservedRun> {
    let started_ms = run.started_ms?;
    Some(ObservedRun {
        elapsed_ms: now.steady_ms.saturating_sub(started_ms),
        progress_percent: run.progress_percent,
        progress_after_ms: run.last_progress_ms.saturating_sub(started_ms),
    })
}
