//! Handling of the worker's responses to calls about one task.

use geraniumpost_schema::{Name, TaskState};

use super::{LedgerAction, LedgerEvent, Phase, StartCall, Task, VmLedger};
use crate::Millis;

/// Number of failed attempts to write a checkpoint after which an evicted task is stopped anyway,
/// so that its next run resumes from the latest checkpoint written.
const MAX_CHECKPOINT_ATTEMPTS: u32 = 3;

impl VmLedger {
    pub(super) fn on_worker_response(
        &mut self,
        response: LedgerEvent,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        match response {
            LedgerEvent::Listed { requested_at, tasks } => {
                self.on_listed(requested_at, tasks, now, actions);
            }
            LedgerEvent::Started { job, epoch } => self.on_started(&job, epoch, now, actions),
            LedgerEvent::StartRefused { job, epoch, reason } => {
                self.on_start_refused(&job, epoch, reason, now, actions);
            }
            LedgerEvent::StartUncertain { job, epoch } => {
                self.on_start_uncertain(&job, epoch, now);
            }
            LedgerEvent::Checkpointed { job, epoch, checkpoint } => {
                self.on_checkpointed(&job, epoch, checkpoint, now, actions);
            }
            LedgerEvent::CheckpointFailed { job, epoch } => {
                self.on_checkpoint_failed(&job, epoch, now, actions);
            }
            LedgerEvent::Stopped { job, epoch } => self.on_stopped(&job, epoch, now, actions),
            LedgerEvent::Renewed { job, epoch } => self.on_renewed(&job, epoch, now),
            _ => {}
        }
    }

    pub(super) fn task_mut(&mut self, job: &Name, epoch: u64) -> Option<&mut Task> {
        self.tasks.get_mut(job).filter(|task| task.epoch == epoch)
    }

    fn on_started(&mut self, job: &Name, epoch: u64, now: Millis, actions: &mut Vec<LedgerAction>) {
        let config = self.config;
        let Some(task) = self.task_mut(job, epoch) else { return };
        task.lease_until = task.lease_until.max(now.plus(config.worker_lease_ms));
        let first = task.start != StartCall::Settled;
        task.settle_start();
        match task.phase {
            Phase::Starting => {
                task.enter_phase(Phase::Running, now);
                actions.push(LedgerAction::Report(task.report()));
            }
            // The stop was delayed until the start was settled. A list requested earlier is no
            // longer conclusive.
            Phase::Stopping(state) if first => {
                task.begin_stop(state, now, &config);
                actions.push(LedgerAction::Stop { job: job.clone(), epoch });
            }
            _ => {}
        }
    }

    fn on_start_uncertain(&mut self, job: &Name, epoch: u64, now: Millis) {
        let config = self.config;
        let Some(task) = self.task_mut(job, epoch) else { return };
        if matches!(task.start, StartCall::Open(_)) {
            task.start = StartCall::Lost(now);
            let lease_until = now.plus(config.settle_ms + config.worker_lease_ms);
            task.lease_until = task.lease_until.max(lease_until);
        }
    }

    fn on_start_refused(
        &mut self,
        job: &Name,
        epoch: u64,
        reason: String,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        let config = self.config;
        let Some(task) = self.task_mut(job, epoch) else { return };
        task.start = StartCall::Settled;
        let may_begin = task.start_may_take_effect(now, &config);
        match task.phase {
            // The earlier call may still take effect. If the run were reported as refused now, the
            // planner could start the job on another VM while this run starts as well. The run ends
            // once the call can no longer overtake a stop.
            Phase::Starting if may_begin => {
                task.result = reason;
                task.begin_stop(TaskState::Refused, now, &config);
            }
            Phase::Starting => {
                task.result = reason;
                self.end_task(job, TaskState::Refused, now, actions);
            }
            Phase::Stopping(state) if !may_begin => self.end_task(job, state, now, actions),
            _ => {}
        }
    }

    fn on_checkpointed(
        &mut self,
        job: &Name,
        epoch: u64,
        checkpoint: Name,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(task) = self.task_mut(job, epoch) else { return };
        if task.is_ended() {
            return;
        }
        task.checkpoint = checkpoint;
        if task.phase == Phase::Checkpointing {
            stop_for_eviction(task, now, actions);
        }
    }

    fn on_checkpoint_failed(
        &mut self,
        job: &Name,
        epoch: u64,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(task) = self.task_mut(job, epoch) else { return };
        if task.phase != Phase::Checkpointing {
            return;
        }
        task.failed_checkpoints += 1;
        if task.failed_checkpoints < MAX_CHECKPOINT_ATTEMPTS {
            task.last_call = now;
            actions.push(LedgerAction::Checkpoint { job: job.clone(), epoch });
        } else {
            stop_for_eviction(task, now, actions);
        }
    }

    fn on_stopped(&mut self, job: &Name, epoch: u64, now: Millis, actions: &mut Vec<LedgerAction>) {
        let config = self.config;
        let Some(task) = self.task_mut(job, epoch) else { return };
        if let Phase::Stopping(state) = task.phase
            && !task.start_may_take_effect(now, &config)
        {
            self.end_task(job, state, now, actions);
        }
    }

    fn on_renewed(&mut self, job: &Name, epoch: u64, now: Millis) {
        let lease_until = now.plus(self.config.worker_lease_ms);
        if let Some(task) = self.task_mut(job, epoch) {
            task.lease_until = task.lease_until.max(lease_until);
        }
    }
}

fn stop_for_eviction(task: &mut Task, now: Millis, actions: &mut Vec<LedgerAction>) {
    task.enter_phase(Phase::Stopping(TaskState::Evicted), now);
    actions.push(LedgerAction::Stop { job: task.job.clone(), epoch: task.epoch });
}
