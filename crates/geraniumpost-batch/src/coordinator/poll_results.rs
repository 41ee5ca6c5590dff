//! Comparison of minions' task lists with the expected runs.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::run::OrderState;
use crate::{Now, PollResult, RunningTask, TaskId};

/// What to do about a run that its minion does not list.
enum MissingRunAction {
    /// Do nothing: the last order for the run may not have been carried out yet, or the poll began
    /// before that order's result was reported.
    Wait,
    /// Send the start order again.
    Start,
    /// Requeue the task: the run has ended or will never start.
    Requeue,
}

impl Coordinator {
    /// Handles the lists of running and ended tasks that a poll of a minion returned.
    pub(super) fn handle_poll_result(&mut self, agent: &Name, poll: PollResult, now: Now) {
        let Some(minion) = self.minions.get(&poll.minion) else { return };
        if minion.agent != *agent {
            return;
        }
        let id = poll.minion.clone();
        self.record_response(&id);
        for end in poll.ended {
            self.handle_run_end(&id, end, now);
        }
        if let Some(running) = poll.running {
            let listed: std::collections::HashSet<TaskId> =
                running.iter().map(|row| row.task).collect();
            for row in running {
                self.update_running_task(&id, row, poll.orders_reported_before, now);
            }
            if !poll.more_ends {
                self.handle_missing_runs(&id, &listed, poll.orders_reported_before, now);
                self.handle_missing_copies(&id, &listed, poll.orders_reported_before, now);
            }
            if let Some(minion) = self.minions.get_mut(&id) {
                self.placement_due |= !minion.polled || minion.may_be_down(now);
                minion.polled = true;
                minion.last_polled_ms = now.steady_ms;
                minion.expired_runs.clear();
            }
            self.adjust_paces(&id, now);
        }
        self.acknowledge_ends();
    }

    fn update_running_task(
        &mut self,
        minion: &Name,
        row: RunningTask,
        orders_reported_before: u64,
        now: Now,
    ) {
        if self.update_listed_copy(minion, &row, orders_reported_before, now) {
            return;
        }
        let Some(run) = self.runs.get_mut(&row.task) else {
            self.stop_unknown_run(minion, row.task, row.run, "listed");
            return;
        };
        if run.place.minion != *minion || run.number != row.run {
            let is_unexpected = run.place.minion != *minion || run.number > row.run;
            if is_unexpected {
                self.stop_unknown_run(minion, row.task, row.run, "listed");
            }
            return;
        }
        if row.progress_percent != run.progress_percent || run.pace_percent == 0 {
            run.progress_percent = row.progress_percent;
            run.last_progress_ms = now.steady_ms;
        }
        run.measurement = row.measurement;
        run.last_seen_ms = now.steady_ms;
        if !run.is_stopping() {
            run.order = OrderState::Started { results_reported: orders_reported_before };
            self.record_started(row.task, now);
        }
        self.clear_if_known_to_work(row.task);
        if !row.checkpoint.is_empty()
            && let Some(job) = self.jobs.get_mut(&row.task.job)
        {
            let next = job.next_placements.entry(row.task).or_default();
            if next.checkpoint != row.checkpoint {
                next.checkpoint = row.checkpoint;
            }
        }
    }

    fn handle_missing_runs(
        &mut self,
        id: &Name,
        listed: &std::collections::HashSet<TaskId>,
        orders_reported_before: u64,
        now: Now,
    ) {
        let Some(minion) = self.minions.get(id) else { return };
        let missing: Vec<TaskId> =
            minion.runs.iter().filter(|task| !listed.contains(task)).copied().collect();
        for task in missing {
            let Some(run) = self.runs.get(&task) else { continue };
            match missing_run_action(run.order, orders_reported_before) {
                MissingRunAction::Wait => {}
                MissingRunAction::Start => self.send_start(task, now),
                MissingRunAction::Requeue => {
                    let number = run.number;
                    self.log(format!("decision=missing task={task} run={number} minion={id}"));
                    self.requeue(task, 0, false, now);
                }
            }
        }
    }
}

/// Returns what to do about a run that is in neither list of its minion.
fn missing_run_action(order: OrderState, orders_reported_before: u64) -> MissingRunAction {
    match order {
        OrderState::Unknown { .. } => MissingRunAction::Start,
        OrderState::Started { results_reported }
        | OrderState::Ended { results_reported }
        | OrderState::StopConfirmed { results_reported, .. }
            if results_reported <= orders_reported_before =>
        {
            MissingRunAction::Requeue
        }
        _ => MissingRunAction::Wait,
    }
}
