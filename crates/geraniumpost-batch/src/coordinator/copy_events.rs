//! Ends, order results and losses of copies.

use std::collections::HashSet;

use geraniumpost_schema::Name;

use super::Coordinator;
use super::copies::may_have_copies;
use super::run::{OrderState, Run};
use super::timers::is_resend_due;
use crate::{
    EndKind, EndedTask, Feature, JobId, Now, OrderKindTag, OrderOutcome, OrderResult, RunningTask,
    TaskId, TaskPhase,
};

impl Coordinator {
    /// Handles the end of a run that is not its task's run: of a copy, or of a copy that a
    /// predecessor started or that was lost. Returns the job and the version of the record that
    /// contains this change, or `None` if no record changes.
    ///
    /// The number of a forgotten copy is above that of the task's run. Its end counts as well: a
    /// task that is done must not start again, and a failed copy is a failed attempt.
    pub(super) fn handle_copy_end(
        &mut self,
        minion: &Name,
        end: &EndedTask,
        now: Now,
    ) -> Option<(JobId, u64)> {
        if !self.features.contains(Feature::Stragglers) {
            return None;
        }
        let task = end.task;
        let is_copy = self.is_copy(minion, task, end.run);
        if is_copy {
            self.log(format!(
                "decision=copy_end job={} task={task} run={} minion={minion} end={}",
                task.job, end.run, end.kind
            ));
            self.track_failures(minion, end, now);
            let copy = self.remove_copy(task);
            self.keep_late_start(task, copy.as_ref(), now);
            if end.kind == EndKind::Done {
                self.record_duration(task, copy.as_ref(), now);
            }
        }
        let is_counted = self.is_open_with_copies(task)
            && (is_copy || self.task_record(task).is_some_and(|record| end.run > record.run));
        match end.kind {
            EndKind::Done if is_counted => {
                self.copy_counts.won += u64::from(is_copy);
                Some((task.job, self.complete_by_copy(task, now)))
            }
            EndKind::Failed if is_counted => {
                self.copy_counts.wasted += u64::from(is_copy);
                self.count_failed_copy(task, end.run, now)
            }
            _ => {
                self.copy_counts.wasted += u64::from(is_copy);
                None
            }
        }
    }

    /// Completes a task whose copy has ended as done, and stops its other runs, which stay
    /// accounted until they have ended.
    fn complete_by_copy(&mut self, task: TaskId, now: Now) -> u64 {
        let Some(spec) = self.step_spec(task).cloned() else { return 0 };
        if self.runs.get(&task).is_some_and(|run| run.order == OrderState::Committing) {
            self.remove_run(task);
        }
        self.complete_task(task, &spec, now);
        self.stop_run(task, now);
        self.stop_copy(task, now);
        self.placement_due = true;
        self.mark_dirty(task.job)
    }

    /// Counts the failure of a copy as a failed attempt of its task, each copy once.
    fn count_failed_copy(&mut self, task: TaskId, run: u32, now: Now) -> Option<(JobId, u64)> {
        if self.task_record(task).is_none_or(|record| record.failed_run >= run) {
            return None;
        }
        self.update_tasks(task, false, |record| {
            record.failed_run = run;
            record.failures += 1;
        });
        self.fail_job_after_last_attempt(task, now);
        Some((task.job, self.mark_dirty(task.job)))
    }

    /// Decides on a copy after its task's run has ended: stops it if the task is over, and
    /// otherwise lets it take the place of that run.
    pub(super) fn settle_copy(&mut self, task: TaskId, now: Now) {
        let Some(copy) = self.copies.get(&task) else { return };
        if !self.is_open_with_copies(task) {
            return self.stop_copy(task, now);
        }
        if copy.is_stopping() || self.runs.contains_key(&task) {
            return;
        }
        let Some(copy) = self.remove_copy(task) else { return };
        let (place, number) = (copy.place.clone(), copy.number);
        self.log(format!(
            "decision=promote_copy job={} task={task} run={number} minion={}",
            task.job, place.minion
        ));
        self.copy_counts.promoted += 1;
        self.update_tasks(task, false, |record| {
            record.run = number;
            record.phase = TaskPhase::Placed(place.clone());
        });
        self.insert_run(task, copy);
        self.mark_dirty(task.job);
    }

    /// Returns whether a task that may have copies is not done and its job is not finished.
    fn is_open_with_copies(&self, task: TaskId) -> bool {
        let is_open = |job: &super::Job| !job.record.state.is_final();
        self.jobs.get(&task.job).is_some_and(is_open)
            && self.step_spec(task).is_some_and(may_have_copies)
            && self.task_record(task).is_some_and(|record| record.phase != TaskPhase::Done)
    }

    /// Returns whether a task that may have copies is done, so that the end of another of its runs
    /// changes nothing.
    pub(super) fn is_done_by_copy(&self, task: TaskId) -> bool {
        self.features.contains(Feature::Stragglers)
            && self.step_spec(task).is_some_and(may_have_copies)
            && self.task_record(task).is_none_or(|record| record.phase == TaskPhase::Done)
    }

    /// Stops the copies of a finished job.
    pub(super) fn stop_copies_of_job(&mut self, id: JobId, now: Now) {
        let copies: Vec<TaskId> =
            self.copies.keys().filter(|task| task.job == id).copied().collect();
        for task in copies {
            self.stop_copy(task, now);
        }
    }

    /// Drops the copies on a minion that has terminated or whose lease has expired.
    pub(super) fn drop_copies_of_minion(&mut self, id: &Name, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        for task in minion.copies.clone() {
            self.drop_copy(task, "lost", now);
        }
    }

    fn drop_copy(&mut self, task: TaskId, why: &str, now: Now) {
        let Some(copy) = self.remove_copy(task) else { return };
        self.keep_late_start(task, Some(&copy), now);
        self.copy_counts.wasted += 1;
        self.log(format!(
            "decision=copy_end job={} task={task} run={} minion={} end={why}",
            task.job, copy.number, copy.place.minion
        ));
    }

    fn is_copy(&self, minion: &Name, task: TaskId, run: u32) -> bool {
        self.copies
            .get(&task)
            .is_some_and(|copy| copy.number == run && copy.place.minion == *minion)
    }

    /// Handles the result of an order for a copy. A copy that is refused, or whose start had no
    /// response, is given up.
    pub(super) fn handle_copy_result(&mut self, result: &OrderResult, now: Now) {
        if !self.is_copy(&result.minion, result.task, result.run) {
            return;
        }
        let Some(copy) = self.copies.get_mut(&result.task) else { return };
        let results_reported = result.results_reported;
        match (result.kind_tag, result.outcome) {
            (OrderKindTag::Stop, OrderOutcome::Done | OrderOutcome::RunIsOver)
                if copy.is_stopping() =>
            {
                copy.order = OrderState::StopConfirmed { at_ms: now.steady_ms, results_reported };
            }
            (OrderKindTag::Start, outcome) => {
                copy.record_start_result(outcome);
                if copy.is_stopping() {
                    return;
                }
                match outcome {
                    OrderOutcome::Done => {
                        copy.order = OrderState::Started { results_reported };
                        copy.started_ms.get_or_insert(now.steady_ms);
                    }
                    OrderOutcome::RunIsOver => {
                        copy.order = OrderState::Ended { results_reported };
                    }
                    _ if copy.may_still_start() => self.send_copy_stop(result.task, now),
                    _ => self.drop_copy(result.task, "refused", now),
                }
            }
            _ => {}
        }
    }

    /// Updates a copy that a poll lists. Returns false if the listed run is no copy.
    pub(super) fn update_listed_copy(
        &mut self,
        minion: &Name,
        row: &RunningTask,
        orders_reported_before: u64,
        now: Now,
    ) -> bool {
        if !self.is_copy(minion, row.task, row.run) {
            return false;
        }
        let Some(copy) = self.copies.get_mut(&row.task) else { return false };
        copy.started_ms.get_or_insert(now.steady_ms);
        if row.progress_percent != copy.progress_percent {
            copy.progress_percent = row.progress_percent;
            copy.last_progress_ms = now.steady_ms;
        }
        copy.measurement = row.measurement;
        copy.last_seen_ms = now.steady_ms;
        if !copy.is_stopping() {
            copy.order = OrderState::Started { results_reported: orders_reported_before };
        }
        true
    }

    /// Gives up copies that their minion lists neither as running nor as ended.
    pub(super) fn handle_missing_copies(
        &mut self,
        id: &Name,
        listed: &HashSet<TaskId>,
        orders_reported_before: u64,
        now: Now,
    ) {
        let Some(minion) = self.minions.get(id) else { return };
        let missing: Vec<TaskId> =
            minion.copies.iter().filter(|task| !listed.contains(task)).copied().collect();
        for task in missing {
            match self.copies.get(&task).map(|copy| copy.order) {
                Some(
                    OrderState::Started { results_reported }
                    | OrderState::Ended { results_reported }
                    | OrderState::StopConfirmed { results_reported, .. },
                ) if results_reported <= orders_reported_before => {
                    self.drop_copy(task, "missing", now);
                }
                // Its start may still be on its way.
                Some(OrderState::Unknown { .. }) => self.send_copy_stop(task, now),
                _ => {}
            }
        }
    }

    /// Sends stops again that had no effect yet, and stops copies whose start has no result.
    pub(super) fn retry_copy_orders(&mut self, now: Now) {
        let is_due = |copy: &Run| is_resend_due(copy.order, now.steady_ms);
        let due: Vec<TaskId> =
            self.copies.iter().filter(|(_, copy)| is_due(copy)).map(|(task, _)| *task).collect();
        for task in due {
            self.send_copy_stop(task, now);
        }
    }
}
