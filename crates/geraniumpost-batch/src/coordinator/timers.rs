//! What happens as time passes.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::run::OrderState;
use crate::tuning::{
    FINISHED_JOB_RETENTION_MS, ORDER_RESULT_TIMEOUT_MS, ORDER_RETRY_MS, STALLED_RUN_TIMEOUT_MS,
    STOP_RETRY_MS,
};
use crate::{JobId, Now, TaskId};

impl Coordinator {
    /// Does what has become due. The shell calls it about ten times a second.
    pub fn tick(&mut self, now: Now) {
        self.pass_over_silent(now);
        self.lapse(now);
        self.note_unreached(now);
        self.tell_lease_basis(now);
        self.begin_all_due(now);
        self.repeat_orders(now);
        self.empty_leaving(now);
        self.move_throttled(now);
        self.expire(now);
        self.forget_groups();
        self.watch_waits(now);
        // Tasks that waited for a pause to pass may be placed now.
        self.placing_due |= !self.open.is_empty();
    }

    fn begin_all_due(&mut self, now: Now) {
        for id in self.open.iter().copied().collect::<Vec<_>>() {
            self.begin_due(id, now);
        }
    }

    /// Begins the repetitions of a job that are due.
    pub(super) fn begin_due(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let mut begun = false;
        while let Some(due_ms) = job.record.next_due_ms().filter(|due| *due <= now.wall_ms) {
            job.record.begin_occurrence(due_ms);
            begun = true;
        }
        if begun {
            self.touch(id);
            self.placing_due = true;
        }
    }

    fn repeat_orders(&mut self, now: Now) {
        let due: Vec<(TaskId, OrderState)> = self
            .runs
            .iter()
            .filter(|(_, run)| is_due(run.order, now.steady_ms))
            .map(|(task, run)| (*task, run.order))
            .collect();
        for (task, order) in due {
            match order {
                OrderState::Stopping { .. } | OrderState::Barred { .. } => {
                    self.send_stop(task, now);
                }
                _ if self.looked_at(task) => self.send_start(task, now),
                _ => {}
            }
        }
        self.stop_stuck(now);
    }

    /// Returns whether the lists of a run's minion were read over the present link.
    fn looked_at(&self, task: TaskId) -> bool {
        let minion = self.runs.get(&task).and_then(|run| self.minions.get(&run.place.minion));
        minion.is_some_and(|minion| minion.looked)
    }

    /// Stops runs that make no progress, so that they go on elsewhere.
    ///
    /// On some minions tasks stand still while everything else seems well. Their callers would wait
    /// for ever, as nothing ends. Progress that does not move for [`STALLED_RUN_TIMEOUT_MS`]
    /// from look to look shows it; a minion that is not looked at shows nothing.
    fn stop_stuck(&mut self, now: Now) {
        let stuck: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.order, OrderState::Started { .. }))
            .filter(|(_, run)| run.percent < 100 && run.pace > 0)
            .filter(|(_, run)| run.seen_ms >= run.progressed_ms + STALLED_RUN_TIMEOUT_MS)
            .map(|(task, _)| *task)
            .collect();
        for task in stuck {
            let Some(step) = self.step_spec(task) else { continue };
            // One percent of a long task takes long.
            let patience_ms = u64::from(step.estimate_ms) / 10 + STALLED_RUN_TIMEOUT_MS;
            let Some(run) = self.runs.get(&task) else { continue };
            let minion: Name = run.place.minion.clone();
            let looked = self.minions.get(&minion).is_some_and(|minion| minion.looked);
            if !looked || run.seen_ms < run.progressed_ms + patience_ms {
                continue;
            }
            self.note(format!(
                "decision=stop_stuck job={} task={task} minion={minion} percent={} still_ms={}",
                task.job,
                run.percent,
                run.seen_ms - run.progressed_ms
            ));
            if let Some(minion) = self.minions.get_mut(&minion) {
                minion.shunned_ms = now.steady_ms + crate::tuning::QUARANTINE_MS;
            }
            self.stop_run(task, now);
        }
    }

    fn expire(&mut self, now: Now) {
        let over: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.record.state.is_final() && job.durable == job.version)
            .filter(|(_, job)| now.wall_ms >= job.record.finished_ms + FINISHED_JOB_RETENTION_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            if !self.expired.contains(&id) && self.runs_of(id).is_empty() {
                self.expired.push(id);
            }
        }
    }
}

/// Returns whether an order is to be given again.
fn is_due(order: OrderState, now_ms: u64) -> bool {
    match order {
        OrderState::Unknown { since_ms } => now_ms >= since_ms + ORDER_RETRY_MS,
        OrderState::Sent { at_ms } => now_ms >= at_ms + ORDER_RESULT_TIMEOUT_MS,
        OrderState::Stopping { at_ms } | OrderState::Barred { at_ms, .. } => {
            now_ms >= at_ms + STOP_RETRY_MS
        }
        _ => false,
    }
}
