//! Handling of the planner's orders and heartbeat acknowledgements.

use geraniumpost_schema::{
    HeartbeatAck, Name, Resources, StartTask, TaskRef, TaskReport, TaskState, Throttle,
};

use super::{LedgerAction, Phase, StartCall, Task, VmLedger};
use crate::Millis;

impl VmLedger {
    pub(super) fn on_ack(&mut self, ack: &HeartbeatAck) {
        let grants = ack.term > 0 && ack.hold_ms > 0 && ack.incarnation == self.incarnation;
        if grants && self.accept_term(ack.term) {
            self.lease.extend(ack);
        }
    }

    pub(super) fn on_new_term(&mut self, term: u64, actions: &mut Vec<LedgerAction>) {
        if !self.accept_term(term) {
            return;
        }
        if self.is_adoption_complete() {
            actions.push(self.inventory_action());
        } else {
            self.inventory_requested = true;
        }
    }

    pub(super) fn on_start(
        &mut self,
        start: StartTask,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        if !self.accept_term(start.term) || !self.is_adoption_complete() {
            return;
        }
        if self.knows_epoch(&start.job, start.epoch) {
            self.counters.stale_epochs += 1;
            self.record_need(&start);
            self.repeat_report(&start.job, start.epoch, actions);
        } else if self.has_task_without_size() {
            // The planner repeats the order. The free resources are unknown until the size of every
            // task is known.
        } else if !self.lease.permits_starts_under(start.term, now) {
            self.counters.without_lease += 1;
        } else if let Some(reason) = self.refusal_reason(&start) {
            self.refuse_start(&start, reason, now, actions);
        } else {
            self.reserve_and_start(start, now, actions);
        }
    }

    fn knows_epoch(&self, job: &Name, epoch: u64) -> bool {
        self.known_epochs.get(job).is_some_and(|&(known, _)| epoch <= known)
    }

    /// Records the declared size of an adopted task from the planner's repeated order.
    fn record_need(&mut self, start: &StartTask) {
        if let Some(task) = self.task_mut(&start.job, start.epoch) {
            task.need.get_or_insert(start.need);
        }
    }

    /// Reports the run again, because the planner repeats a start until it receives a report.
    fn repeat_report(&self, job: &Name, epoch: u64, actions: &mut Vec<LedgerAction>) {
        if let Some(task) = self.tasks.get(job).filter(|task| task.epoch == epoch) {
            actions.push(LedgerAction::Report(task.report()));
        }
    }

    fn refusal_reason(&mut self, start: &StartTask) -> Option<&'static str> {
        if self.draining {
            return Some("the VM is leaving");
        }
        if self.tasks.get(&start.job).is_some_and(|task| task.phase.is_live()) {
            return Some("an earlier run of the job has not ended");
        }
        if !self.has_capacity(start.need) {
            self.counters.too_large += 1;
            return Some("the VM has no room");
        }
        None
    }

    /// Records the refusal as an ended run, so that a repeated order cannot start the run later. If
    /// an earlier run of the job is live, the refusal is only reported.
    fn refuse_start(
        &mut self,
        start: &StartTask,
        reason: &str,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        if self.tasks.get(&start.job).is_some_and(|task| task.phase.is_live()) {
            actions.push(LedgerAction::Report(report_without_task(
                &start.job,
                start.epoch,
                TaskState::Refused,
                reason,
            )));
            return;
        }
        let phase = Phase::Ended(TaskState::Refused);
        let mut task = Task::new(start.job.clone(), start.epoch, Some(start.need), phase, now);
        reason.clone_into(&mut task.result);
        self.record_epoch(&start.job, start.epoch, now);
        actions.push(LedgerAction::Report(task.report()));
        self.tasks.insert(start.job.clone(), task);
    }

    fn reserve_and_start(
        &mut self,
        start: StartTask,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        let mut task =
            Task::new(start.job.clone(), start.epoch, Some(start.need), Phase::Starting, now);
        task.checkpoint = start.checkpoint.clone();
        task.lease_until = now.plus(self.config.worker_lease_ms);
        task.order = Some(start.clone());
        task.start = StartCall::Open(now);
        self.record_epoch(&start.job, start.epoch, now);
        actions.push(LedgerAction::Report(task.report()));
        self.tasks.insert(start.job.clone(), task);
        actions.push(LedgerAction::Start(start));
    }

    pub(super) fn on_evict(
        &mut self,
        order: &TaskRef,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        if !self.accept_term(order.term) || !self.is_adoption_complete() {
            return;
        }
        let Some(task) = self.tasks.get_mut(&order.job).filter(|t| t.epoch == order.epoch) else {
            return self.block_start(order, now, actions);
        };
        let (job, epoch) = (order.job.clone(), order.epoch);
        match task.phase {
            Phase::Running => {
                task.enter_phase(Phase::Checkpointing, now);
                actions.push(LedgerAction::Checkpoint { job, epoch });
            }
            Phase::Starting => {
                if task.begin_stop(TaskState::Evicted, now, &self.config) {
                    actions.push(LedgerAction::Stop { job, epoch });
                }
            }
            Phase::Ended(_) => actions.push(LedgerAction::Report(task.report())),
            Phase::Checkpointing | Phase::Stopping(_) => {}
        }
    }

    pub(super) fn on_stop(
        &mut self,
        order: &TaskRef,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        if !self.accept_term(order.term) || !self.is_adoption_complete() {
            return;
        }
        let Some(task) = self.tasks.get_mut(&order.job).filter(|t| t.epoch == order.epoch) else {
            return self.block_start(order, now, actions);
        };
        if task.is_ended() {
            actions.push(LedgerAction::Report(task.report()));
        } else if !matches!(task.phase, Phase::Stopping(_)) {
            let (job, epoch) = (order.job.clone(), order.epoch);
            if task.begin_stop(TaskState::Stopped, now, &self.config) {
                actions.push(LedgerAction::Stop { job, epoch });
            }
        }
    }

    /// Guarantees that a run unknown to this agent never starts, however late its order arrives.
    fn block_start(&mut self, order: &TaskRef, now: Millis, actions: &mut Vec<LedgerAction>) {
        self.record_epoch(&order.job, order.epoch, now);
        let reason = "the run is not here and will not start";
        let report = report_without_task(&order.job, order.epoch, TaskState::Stopped, reason);
        actions.push(LedgerAction::Report(report));
    }

    pub(super) fn on_throttle(&mut self, order: &Throttle, actions: &mut Vec<LedgerAction>) {
        if !self.accept_term(order.term) {
            return;
        }
        let task = self.tasks.get(&order.job).filter(|task| task.epoch == order.epoch);
        if task.is_some_and(|task| task.phase.is_before_stop()) {
            let (job, epoch) = (order.job.clone(), order.epoch);
            actions.push(LedgerAction::Throttle { job, epoch, permille: order.permille });
        }
    }

    pub(super) fn on_settled(&mut self, order: &TaskRef, actions: &mut Vec<LedgerAction>) {
        if !self.accept_term(order.term) {
            return;
        }
        let task = self.tasks.get(&order.job).filter(|task| task.epoch == order.epoch);
        if task.is_some_and(Task::is_ended) {
            self.tasks.remove(&order.job);
            let (job, epoch) = (order.job.clone(), order.epoch);
            actions.push(LedgerAction::Forget { job, epoch });
        }
    }
}

fn report_without_task(job: &Name, epoch: u64, state: TaskState, reason: &str) -> TaskReport {
    TaskReport {
        job: job.clone(),
        epoch,
        state,
        checkpoint: Name::default(),
        result: reason.to_owned(),
        usage: Resources::default(),
    }
}
