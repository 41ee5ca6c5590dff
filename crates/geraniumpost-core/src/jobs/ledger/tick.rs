//! What time brings: renewals, repeats, and the lapse of the hold.

use geraniumpost_schema::{Name, TaskState};

use super::{LedgerAction, Phase, StartCall, Task, VmLedger};
use crate::Millis;

impl VmLedger {
    pub(super) fn on_tick(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        self.list_if_due(now, actions);
        if self.hold.is_valid(now) {
            self.renew(now, actions);
            self.repeat_starts(now, actions);
            self.checkpoint(now, actions);
        } else if self.hold.was_granted() {
            self.lapse(now, actions);
        }
        self.repeat_stops(now, actions);
        self.end_expired(now, actions);
        self.repeat_reports(now, actions);
        self.ask_for_sizes(now, actions);
        self.forget_epochs(now);
    }

    fn list_if_due(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        if self.last_list.is_none_or(|last| now.since(last) >= self.config.list_ms) {
            self.last_list = Some(now);
            actions.push(LedgerAction::List);
        }
    }

    fn renew(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        let interval = self.config.worker_lease_ms / 3;
        for task in self.tasks.values_mut().filter(|task| task.phase.goes_on()) {
            if task.phase != Phase::Starting && now.since(task.last_renewal) >= interval {
                task.last_renewal = now;
                actions.push(LedgerAction::Renew { job: task.job.clone(), epoch: task.epoch });
            }
        }
    }

    /// Has running tasks write checkpoints, now and then and shortly before the hold ends.
    ///
    /// A VM may be lost at any time, and when no planner extends the hold its tasks are stopped. The
    /// work since the last checkpoint is then done again, which nobody sees but in studies that miss
    /// their deadline. A planner that comes back in time costs one checkpoint too many.
    fn checkpoint(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        let interval = self.config.checkpoint_ms;
        // Within a hold that fades, one checkpoint is enough.
        let least = self.hold.fading(now).map_or(interval, |granted_ms| granted_ms.min(interval));
        for task in self.tasks.values_mut().filter(|task| task.phase == Phase::Running) {
            if now.since(task.last_checkpoint) >= least {
                task.last_checkpoint = now;
                let (job, epoch) = (task.job.clone(), task.epoch);
                actions.push(LedgerAction::Checkpoint { job, epoch });
            }
        }
    }

    /// Repeats a start whose answer was lost; the worker knows a repeat by job and epoch.
    fn repeat_starts(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        for task in self.tasks.values_mut() {
            let due = now.since(task.last_call) >= self.config.repeat_ms;
            let open = matches!(task.start, StartCall::Open(_))
                && task.start_may_arrive(now, &self.config);
            if task.phase == Phase::Starting
                && due
                && !open
                && let Some(order) = task.order.clone()
            {
                task.repeat_start(now);
                task.lease_until = now.plus(self.config.worker_lease_ms);
                actions.push(LedgerAction::Start(order));
            }
        }
    }

    /// Stops everything once the planner's hold has lapsed.
    ///
    /// The next planner counts on it: it gives the jobs to other workers after that time.
    fn lapse(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        for task in self.tasks.values_mut().filter(|task| task.phase.goes_on()) {
            self.counters.lapsed += 1;
            if task.begin_stop(TaskState::Lapsed, now, &self.config) {
                actions.push(LedgerAction::Stop { job: task.job.clone(), epoch: task.epoch });
            }
        }
    }

    fn repeat_stops(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        for task in self.tasks.values_mut() {
            let due = now.since(task.last_call) >= self.config.repeat_ms;
            let may_stop = !task.start_may_arrive(now, &self.config);
            if matches!(task.phase, Phase::Stopping(_)) && may_stop && (due || !task.stop_sent) {
                task.last_call = now;
                task.stop_sent = true;
                actions.push(LedgerAction::Stop { job: task.job.clone(), epoch: task.epoch });
            }
        }
    }

    /// Ends stopping runs whose lease the worker has surely ended by now, in case it never answers.
    fn end_expired(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        let margin = self.config.worker_lease_ms;
        let expired: Vec<Name> = self
            .tasks
            .values()
            .filter(|task| matches!(task.phase, Phase::Stopping(_)))
            .filter(|task| now >= task.lease_until.plus(margin))
            .filter(|task| !task.start_may_arrive(now, &self.config))
            .map(|task| task.job.clone())
            .collect();
        for job in expired {
            let state = self.tasks.get(&job).map_or(TaskState::Lapsed, Task::end_state);
            self.end(&job, state, now, actions);
        }
    }

    fn repeat_reports(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        for task in self.tasks.values_mut() {
            let interval =
                if task.is_ended() { self.config.repeat_ms } else { self.config.usage_ms };
            if now.since(task.last_report) >= interval {
                task.last_report = now;
                actions.push(LedgerAction::Report(task.report()));
            }
        }
    }

    /// Sends the inventory again while sizes are missing; the planner answers it with its orders.
    fn ask_for_sizes(&mut self, now: Millis, actions: &mut Vec<LedgerAction>) {
        let due = now.since(self.last_unsized) >= self.config.repeat_ms;
        if due && self.is_complete() && self.has_unsized() {
            self.last_unsized = now;
            actions.push(self.inventory());
        }
    }

    fn forget_epochs(&mut self, now: Millis) {
        let keep = self.config.epoch_retention_ms;
        let tasks = &self.tasks;
        self.epochs.retain(|job, (_, since)| tasks.contains_key(job) || now.since(*since) < keep);
    }
}
