//! Tracking of waiting tasks, and log lines on why they are not placed.
//!
//! Nothing here affects a decision. Reasons are determined only for the few lines that are written,
//! because hundreds of steps may wait at once.

use std::collections::BTreeMap;

use super::Coordinator;
use super::job::ready_steps;
use super::log_fields::field_unless_zero;
use super::rejection::{Rejection, RejectionCounts};
use super::run::Run;
use super::step_key::StepKey;
use super::wait_state::WaitingStep;
use crate::{Now, StepSpec, TaskId, TaskPhase};

/// Interval between two checks of waiting tasks, in milliseconds; metrics and log lines have a
/// resolution of seconds.
const CHECK_INTERVAL_MS: u64 = 500;
/// Wait of a persistent task after which it is logged, in milliseconds. Users of the task notice
/// its absence at once, and after an ordinary end the task has a new run in less time.
const PERSISTENT_LOG_DELAY_MS: u64 = 2_000;
/// Wait of any other task after which it is logged, in milliseconds; these tasks ordinarily wait
/// for free resources.
const NON_PERSISTENT_LOG_DELAY_MS: u64 = 5_000;
/// Interval between two lines on the same step, in milliseconds.
const STEP_LOG_INTERVAL_MS: u64 = 5_000;
/// Maximum number of lines of one kind in one check: with two checks a second, four lines a second.
pub(super) const MAX_LINES_PER_CHECK: usize = 2;

impl Coordinator {
    /// Checks waiting tasks every [`CHECK_INTERVAL_MS`], and logs which tasks are not placed and
    /// why.
    pub(super) fn monitor_waits(&mut self, now: Now) {
        if self
            .wait_state
            .last_check_ms
            .is_some_and(|at_ms| now.steady_ms < at_ms + CHECK_INTERVAL_MS)
        {
            return;
        }
        self.wait_state.last_check_ms = Some(now.steady_ms);
        self.update_waits(now);
        self.log_not_placed(now);
        self.log_predecessor_wait(now);
        self.log_unreachable(now);
    }

    /// Records the end of a run of a persistent task. If the run had not started or its minion was
    /// unreachable, the task was down already, and the start of its downtime is kept.
    pub(super) fn record_persistent_run_end(&mut self, task: TaskId, run: Option<&Run>, now: Now) {
        let persistent = self.step_spec(task).is_some_and(|step| step.persistent);
        if !persistent || !self.open_jobs.contains(&task.job) {
            return;
        }
        let since_ms = self.wait_state.down_since_ms.entry(task).or_insert(now.steady_ms);
        let minion = run.and_then(|run| self.minions.get(&run.place.minion));
        let was_started = run.is_some_and(|run| run.started_ms.is_some());
        if was_started && minion.is_some_and(|minion| !minion.is_unreachable()) {
            *since_ms = now.steady_ms;
        }
    }

    fn update_waits(&mut self, now: Now) {
        let mut steps = BTreeMap::new();
        let mut down = self.persistent_tasks_down_with_run(now);
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get(id) else { continue };
            for (occurrence, step) in ready_steps(&job.record) {
                let key = (*id, occurrence, step);
                if let Some(waiting) = self.collect_waiting_step(key, &mut down, now) {
                    steps.insert(key, waiting);
                }
            }
        }
        self.wait_state.steps = steps;
        self.wait_state.down_since_ms = down;
    }

    /// Returns the persistent tasks that are down although they have a run, with the start of their
    /// downtime: the run has not started, or its minion is unreachable.
    fn persistent_tasks_down_with_run(&self, now: Now) -> BTreeMap<TaskId, u64> {
        let not_started = self.runs.iter().filter(|(_, run)| run.started_ms.is_none());
        let unreachable = self.minions.values().filter(|minion| minion.is_unreachable());
        not_started
            .map(|(task, _)| *task)
            .chain(unreachable.flat_map(|minion| minion.runs.iter().copied()))
            .filter(|task| self.open_jobs.contains(&task.job))
            .filter(|task| self.step_spec(*task).is_some_and(|step| step.persistent))
            .map(|task| (task, self.task_down_since_ms(task, now)))
            .collect()
    }

    fn task_down_since_ms(&self, task: TaskId, now: Now) -> u64 {
        self.wait_state.down_since_ms.get(&task).copied().unwrap_or(now.steady_ms)
    }

    /// Returns the wait of a step, or `None` if none of its tasks waits. Adds its waiting
    /// persistent tasks to `down`, with the start of their downtime.
    fn collect_waiting_step(
        &self,
        key: StepKey,
        down: &mut BTreeMap<TaskId, u64>,
        now: Now,
    ) -> Option<WaitingStep> {
        let waiting = self.waiting_tasks(key);
        let first = waiting.first()?;
        let previous = self.wait_state.steps.get(&key);
        let last_logged_ms = previous.and_then(|previous| previous.last_logged_ms);
        let persistent = self.step_spec(*first)?.persistent;
        if !persistent {
            // Tasks are placed in order; a later first waiting task therefore means progress.
            let since_ms = previous.filter(|previous| first.index <= previous.first_index);
            let since_ms = since_ms.map_or(now.steady_ms, |previous| previous.since_ms);
            return Some(WaitingStep {
                persistent,
                first_index: first.index,
                since_ms,
                last_logged_ms,
            });
        }
        let mut since_ms = now.steady_ms;
        for task in &waiting {
            let down_ms = self.task_down_since_ms(*task, now);
            down.insert(*task, down_ms);
            since_ms = since_ms.min(down_ms);
        }
        Some(WaitingStep { persistent, first_index: first.index, since_ms, last_logged_ms })
    }

    /// Lists the waiting tasks of a step, including those in backoff.
    fn waiting_tasks(&self, (job, occurrence, step): StepKey) -> Vec<TaskId> {
        let Some(record) = self.jobs.get(&job).map(|job| &job.record) else { return Vec::new() };
        let occurrence_record = record.occurrences.iter().find(|o| o.number == occurrence);
        let tasks =
            occurrence_record.and_then(|o| o.steps.get(usize::from(step))).into_iter().flatten();
        tasks
            .zip(0..)
            .filter(|(task, _)| task.phase == TaskPhase::Waiting)
            .map(|(_, index)| TaskId { job, occurrence, step, index })
            .collect()
    }

    /// Logs why tasks are not placed, for the steps that are due: persistent steps first, then the
    /// steps that were logged least recently.
    fn log_not_placed(&mut self, now: Now) {
        let is_due = |wait: &WaitingStep| {
            let delay_ms =
                if wait.persistent { PERSISTENT_LOG_DELAY_MS } else { NON_PERSISTENT_LOG_DELAY_MS };
            now.steady_ms >= wait.since_ms + delay_ms
                && wait
                    .last_logged_ms
                    .is_none_or(|at_ms| now.steady_ms >= at_ms + STEP_LOG_INTERVAL_MS)
        };
        let due = self.wait_state.steps.iter().filter(|(_, wait)| is_due(wait));
        let mut due: Vec<_> = due
            .map(|(key, wait)| (!wait.persistent, wait.last_logged_ms, wait.since_ms, *key))
            .collect();
        due.sort_unstable();
        let omitted = due.len().saturating_sub(MAX_LINES_PER_CHECK);
        due.truncate(MAX_LINES_PER_CHECK);
        for (_, _, _, key) in due {
            self.log_step_wait(key, omitted, now);
        }
    }

    fn log_step_wait(&mut self, key: StepKey, omitted: usize, now: Now) {
        if let Some(line) = self.not_placed_line(key, now) {
            self.log(format!("{line}{}", field_unless_zero("omitted", omitted as u64)));
        }
        if let Some(wait) = self.wait_state.steps.get_mut(&key) {
            wait.last_logged_ms = Some(now.steady_ms);
        }
    }

    fn not_placed_line(&self, key: StepKey, now: Now) -> Option<String> {
        let since_ms = self.wait_state.steps.get(&key)?.since_ms;
        let waiting = self.waiting_tasks(key);
        let is_ready = |task: &&TaskId| {
            self.remaining_backoff_ms(**task, now) == 0
                && self.remaining_report_wait_ms(**task, now) == 0
        };
        // A placement round stops at the first task that no minion accepts, and skips tasks in
        // backoff or that wait for a report. The rejections of the first other task are therefore
        // the reason.
        let task = *waiting.iter().find(is_ready).or_else(|| waiting.first())?;
        let spec = self.step_spec(task)?;
        let (job, occurrence, step) = key;
        let ran = |task: &&TaskId| self.task_record(**task).is_some_and(|record| record.run > 0);
        Some(format!(
            "event=not_placed job={job} step={occurrence}.{step} first={} waiting={} ran={} \
             waited_ms={}{}{}{}{} minions={}{}",
            task.index,
            waiting.len(),
            waiting.iter().filter(ran).count(),
            now.steady_ms.saturating_sub(since_ms),
            field_unless_zero("gang_size", if spec.gang { spec.count.into() } else { 0 }),
            field_unless_zero("pause_ms", self.remaining_backoff_ms(task, now)),
            field_unless_zero("report_wait_ms", self.remaining_report_wait_ms(task, now)),
            self.requirements(task, spec).map_or_else(String::new, |requirements| {
                self.shortfall_fields(&requirements, spec, now)
            }),
            self.minions.len(),
            self.rejection_fields(task, spec, waiting.len(), now),
        ))
    }

    /// Returns the remaining backoff of a task before it may be placed, in milliseconds.
    fn remaining_backoff_ms(&self, task: TaskId, now: Now) -> u64 {
        let next = self.jobs.get(&task.job).and_then(|job| job.next_placements.get(&task));
        next.map_or(0, |next| next.not_before_ms.saturating_sub(now.steady_ms))
    }

    /// Returns how many minions reject a task, by reason, and how many accept it, formatted as
    /// fields of a log line.
    fn rejection_fields(&self, task: TaskId, spec: &StepSpec, waiting: usize, now: Now) -> String {
        let Some(requirements) = self.requirements(task, spec) else { return String::new() };
        let mut rejections = RejectionCounts::default();
        let mut accepting = 0;
        for minion in self.minions.values() {
            match self.task_rejection(&requirements, minion, now) {
                Some(rejection) => rejections.add(rejection, 1),
                None => accepting += 1,
            }
        }
        if accepting > 0 {
            let rack = self.preferred_rack(task, spec, waiting, now);
            if self.choose_minion(task, spec, rack.as_ref(), now).is_some() {
                return format!("{rejections} fits={accepting}");
            }
            rejections.add(Rejection::TooSlow, accepting);
        }
        rejections.to_string()
    }
}
