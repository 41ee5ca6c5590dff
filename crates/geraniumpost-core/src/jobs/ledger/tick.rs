//! Periodic work: renewals, retries, checkpoints, and stops after the agent lease expired.

use geraniumpost_schema::{Name, TaskState};

use super::{LedgerAction, Phase, StartCall, Task, VmLedger};
use crate::Millis;

impl VmLedger {
    pub(super) fn on_tick(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        self.list_if_due(now, actions);
        if self.lease.is_valid(now) {
            self.renew_tasks(now, actions);
            self.retry_starts(now, actions);
            self.request_checkpoints(now, actions);
        } else if self.lease.was_granted() {
            self.stop_without_lease(now, actions);
        }
        self.retry_stops(now, actions);
        self.end_stopping_runs_after_lease_expiry(now, actions);
        self.repeat_reports(now, actions);
        self.request_sizes(now, actions);
        self.drop_old_epochs(now);
    }

    fn list_if_due(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        if self.last_list.is_none_or(|last| now.since(last) >= self.config.list_interval_ms) {
            self.last_list = Some(now);
            actions.push(LedgerAction::List);
        }
    }

    fn renew_tasks(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        let interval = self.config.worker_lease_ms / 3;
        for task in self.tasks.values_mut().filter(|task| task.phase.is_before_stop()) {
            if task.phase != Phase::Starting && now.since(task.last_renewal) >= interval {
                task.last_renewal = now;
                actions.push(LedgerAction::Renew { job: task.job.clone(), epoch: task.epoch });
            }
        }
    }

    /// Requests checkpoints of running tasks periodically and once in the second half of the agent
    /// lease.
    ///
    /// A VM may be lost at any time, and tasks are stopped when no planner extends the lease. The
    /// work since the last checkpoint is then repeated, which may cause a job to miss its deadline.
    /// If a planner extends the lease after all, the only cost is one additional checkpoint.
    fn request_checkpoints(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        let interval = self.config.checkpoint_interval_ms;
        // One checkpoint is sufficient while the lease is near expiry.
        let min_interval = self
            .lease
            .granted_ms_if_near_expiry(now)
            .map_or(interval, |granted_ms| granted_ms.min(interval));
        for task in self.tasks.values_mut().filter(|task| task.phase == Phase::Running) {
            if now.since(task.last_checkpoint) >= min_interval {
                task.last_checkpoint = now;
                let (job, epoch) = (task.job.clone(), task.epoch);
                actions.push(LedgerAction::Checkpoint { job, epoch });
            }
        }
    }

    /// Repeats a start whose response was lost; the worker recognizes a repeat by job and epoch.
    fn retry_starts(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        for task in self.tasks.values_mut() {
            let due = now.since(task.last_call) >= self.config.repeat_interval_ms;
            let open = matches!(task.start, StartCall::Open(_))
                && task.start_may_take_effect(now, &self.config);
            if task.phase == Phase::Starting
                && due
                && !open
                && let Some(order) = task.order.clone()
            {
                task.retry_start(now);
                task.lease_until = now.plus(self.config.worker_lease_ms);
                actions.push(LedgerAction::Start(order));
            }
        }
    }

    /// Stops all tasks after the agent lease expired.
    ///
    /// The next planner relies on this: it assigns the jobs to other workers after that time.
    fn stop_without_lease(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        for task in self.tasks.values_mut().filter(|task| task.phase.is_before_stop()) {
            self.counters.lease_expired += 1;
            if task.begin_stop(TaskState::Lapsed, now, &self.config) {
                actions.push(LedgerAction::Stop { job: task.job.clone(), epoch: task.epoch });
            }
        }
    }

    fn retry_stops(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        for task in self.tasks.values_mut() {
            let due = now.since(task.last_call) >= self.config.repeat_interval_ms;
            let may_stop = !task.start_may_take_effect(now, &self.config);
            if matches!(task.phase, Phase::Stopping(_)) && may_stop && (due || !task.stop_sent) {
                task.last_call = now;
                task.stop_sent = true;
                actions.push(LedgerAction::Stop { job: task.job.clone(), epoch: task.epoch });
            }
        }
    }

    /// Ends runs that are being stopped once the worker's lease must have expired, in case the
    /// worker never responds.
    fn end_stopping_runs_after_lease_expiry(
        &mut self,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        let margin = self.config.worker_lease_ms;
        let expired: Vec<Name> = self
            .tasks
            .values()
            .filter(|task| matches!(task.phase, Phase::Stopping(_)))
            .filter(|task| now >= task.lease_until.plus(margin))
            .filter(|task| !task.start_may_take_effect(now, &self.config))
            .map(|task| task.job.clone())
            .collect();
        for job in expired {
            let state = self.tasks.get(&job).map_or(TaskState::Lapsed, Task::end_state);
            self.end_task(&job, state, now, actions);
        }
    }

    fn repeat_reports(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        for task in self.tasks.values_mut() {
            let interval = if task.is_ended() {
                self.config.repeat_interval_ms
            } else {
                self.config.usage_report_interval_ms
            };
            if now.since(task.last_report) >= interval {
                task.last_report = now;
                actions.push(LedgerAction::Report(task.report()));
            }
        }
    }

    /// Sends the inventory again while sizes of tasks are unknown. The planner responds by
    /// repeating its start orders, which contain the sizes.
    fn request_sizes(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        let due = now.since(self.last_size_request) >= self.config.repeat_interval_ms;
        if due && self.is_adoption_complete() && self.has_task_without_size() {
            self.last_size_request = now;
            actions.push(self.inventory_action());
        }
    }

    fn drop_old_epochs(&mut self, now: Millis) {
        let keep = self.config.epoch_retention_ms;
        let tasks = &self.tasks;
        self.known_epochs
            .retain(|job, (_, since)| tasks.contains_key(job) || now.since(*since) < keep);
    }
}
