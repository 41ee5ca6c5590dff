//! Periodic work of the coordinator.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::run::OrderState;
use crate::tuning::{
    FINISHED_JOB_RETENTION_MS, ORDER_RESULT_TIMEOUT_MS, ORDER_RETRY_DELAY_MS,
    STALLED_RUN_TIMEOUT_MS, STOP_RETRY_DELAY_MS,
};
use crate::{JobId, Now, TaskId};

impl Coordinator {
    /// Performs all work that is due. The driver calls this method about ten times a second.
    pub fn tick(&mut self, now: Now) {
        self.mark_unresponsive_minions(now);
        self.expire_leases(now);
        self.update_unreached_agents(now);
        self.log_lease_basis(now);
        self.log_known_evacuations(now);
        self.start_copies(now);
        self.begin_due_occurrences(now);
        self.retry_orders(now);
        self.retry_bars(now);
        self.report_dropped_late_starts(now);
        self.retry_copy_orders(now);
        self.evacuate_draining_minions(now);
        self.move_throttled_tasks(now);
        self.expire_finished_jobs(now);
        self.prune_serving_groups();
        self.remove_outdated_disturbance(now);
        self.monitor_waits(now);
        // The backoff of a waiting task may have ended.
        self.placement_due |= !self.open_jobs.is_empty();
    }

    fn begin_due_occurrences(&mut self, now: Now) {
        for id in self.open_jobs.iter().copied().collect::<Vec<_>>() {
            self.begin_due_occurrences_of_job(id, now);
        }
    }

    /// Begins every occurrence of a job whose due time has passed; several may be due after a time
    /// without a coordinator.
    pub(super) fn begin_due_occurrences_of_job(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let mut started = false;
        while let Some(due_ms) = job.record.next_due_ms().filter(|due| *due <= now.wall_ms) {
            job.record.begin_occurrence(due_ms);
            started = true;
        }
        if started {
            self.mark_dirty(id);
            self.placement_due = true;
        }
    }

    fn retry_orders(&mut self, now: Now) {
        let due: Vec<(TaskId, OrderState)> = self
            .runs
            .iter()
            .filter(|(_, run)| is_resend_due(run.order, now.steady_ms))
            .map(|(task, run)| (*task, run.order))
            .collect();
        for (task, order) in due {
            match order {
                OrderState::Stopping { .. } | OrderState::StopConfirmed { .. } => {
                    self.send_stop(task, now);
                }
                _ if self.is_minion_polled(task) => self.send_start(task, now),
                _ => {}
            }
        }
        self.stop_stalled_runs(now);
    }

    /// Returns whether a run's minion was polled over the current link.
    fn is_minion_polled(&self, task: TaskId) -> bool {
        let minion = self.runs.get(&task).and_then(|run| self.minions.get(&run.place.minion));
        minion.is_some_and(|minion| minion.polled)
    }

    /// Stops runs that make no progress, so that their tasks continue on other minions.
    ///
    /// Tasks may stall on a minion that appears healthy otherwise. Their runs never end, and
    /// callers would wait forever. A run counts as stalled if its progress did not change from poll
    /// to poll for [`STALLED_RUN_TIMEOUT_MS`] plus a tenth of the task's estimated duration; a
    /// minion that is not polled gives no evidence.
    fn stop_stalled_runs(&mut self, now: Now) {
        let stalled: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.order, OrderState::Started { .. }))
            .filter(|(_, run)| run.progress_percent < 100 && run.pace_percent > 0)
            .filter(|(_, run)| run.last_seen_ms >= run.last_progress_ms + STALLED_RUN_TIMEOUT_MS)
            .map(|(task, _)| *task)
            .collect();
        for task in stalled {
            let Some(step) = self.step_spec(task) else { continue };
            // A long task needs more time for each percent of its progress.
            let allowed_ms = u64::from(step.estimate_ms) / 10 + STALLED_RUN_TIMEOUT_MS;
            let Some(run) = self.runs.get(&task) else { continue };
            let minion: Name = run.place.minion.clone();
            let polled = self.minions.get(&minion).is_some_and(|minion| minion.polled);
            if !polled || run.last_seen_ms < run.last_progress_ms + allowed_ms {
                continue;
            }
            self.log(format!(
                "decision=stop_stalled job={} task={task} minion={minion} percent={} \
                 stalled_ms={}",
                task.job,
                run.progress_percent,
                run.last_seen_ms - run.last_progress_ms
            ));
            if let Some(minion) = self.minions.get_mut(&minion) {
                minion.quarantined_until_ms = now.steady_ms + crate::tuning::QUARANTINE_DURATION_MS;
            }
            self.stop_run(task, now);
        }
    }

    fn expire_finished_jobs(&mut self, now: Now) {
        let expired: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.record.state.is_final() && job.durable_version == job.version)
            .filter(|(_, job)| now.wall_ms >= job.record.finished_ms + FINISHED_JOB_RETENTION_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if !self.expired_jobs.contains(&id) && self.tasks_with_runs(id).is_empty() {
                self.expired_jobs.push(id);
            }
        }
    }
}

/// Returns whether the last order for a run has to be sent again.
pub(super) fn is_resend_due(order: OrderState, now_ms: u64) -> bool {
    match order {
        OrderState::Unknown { since_ms } => now_ms >= since_ms + ORDER_RETRY_DELAY_MS,
        OrderState::Sent { at_ms } => now_ms >= at_ms + ORDER_RESULT_TIMEOUT_MS,
        OrderState::Stopping { at_ms } | OrderState::StopConfirmed { at_ms, .. } => {
            now_ms >= at_ms + STOP_RETRY_DELAY_MS
        }
        _ => false,
    }
}
