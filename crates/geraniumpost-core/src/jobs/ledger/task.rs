use geraniumpost_schema::{Name, Resources, StartTask, TaskReport, TaskState};

use super::{LedgerConfig, Phase, StartCall};
use crate::{Millis, placement::amounts::component_max};

/// A run of a job in the ledger.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) job: Name,
    pub(super) epoch: u64,
    /// Declared size. The size of an adopted task is unknown until the planner sends it again.
    pub(super) need: Option<Resources>,
    pub(super) usage: Resources,
    pub(super) peak: Resources,
    pub(super) phase: Phase,
    pub(super) checkpoint: Name,
    pub(super) result: String,
    /// Start of the current phase.
    pub(super) phase_since: Millis,
    /// Time of the last call to the worker in the current phase.
    pub(super) last_call: Millis,
    pub(super) last_report: Millis,
    pub(super) last_renewal: Millis,
    /// Time of the last request for a periodic checkpoint.
    pub(super) last_checkpoint: Millis,
    /// Latest instant at which the worker's lease on the task expires.
    pub(super) lease_until: Millis,
    pub(super) failed_checkpoints: u32,
    pub(super) start: StartCall,
    /// The previous start call, if its response was lost. The worker's response to a repeated call
    /// does not settle the earlier call: the repeated call may be refused, and the earlier call
    /// accepted shortly afterwards.
    pub(super) earlier_start: StartCall,
    /// Whether a stop was sent to the worker in the current phase.
    pub(super) stop_sent: bool,
    /// Start order, kept to repeat the call to the worker; `None` for an adopted task.
    pub(super) order: Option<StartTask>,
}

impl Task {
    pub(super) fn new(
        job: Name,
        epoch: u64,
        need: Option<Resources>,
        phase: Phase,
        now: Millis,
    ) -> Self {
        Self {
            job,
            epoch,
            need,
            usage: Resources::default(),
            peak: Resources::default(),
            phase,
            checkpoint: Name::default(),
            result: String::new(),
            phase_since: now,
            last_call: now,
            last_report: now,
            last_renewal: now,
            last_checkpoint: now,
            lease_until: now,
            failed_checkpoints: 0,
            start: StartCall::Settled,
            earlier_start: StartCall::Settled,
            stop_sent: false,
            order: None,
        }
    }

    /// Returns the resources allocated to the task: its declared size or the highest usage
    /// observed, whichever is larger, and none after its end.
    pub(super) fn reserved_size(&self) -> Resources {
        let need = self.need.unwrap_or_default();
        if self.phase.is_live() { component_max(&need, &self.peak) } else { Resources::default() }
    }

    pub(super) fn enter_phase(&mut self, phase: Phase, now: Millis) {
        self.phase = phase;
        self.phase_since = now;
        self.last_call = now;
    }

    pub(super) fn update_from_list(&mut self, usage: Resources, checkpoint: &Name) {
        self.usage = usage;
        self.peak = component_max(&self.peak, &usage);
        if !checkpoint.is_empty() {
            self.checkpoint = checkpoint.clone();
        }
    }

    /// Returns whether a start call may still reach the worker and start the task.
    pub(super) fn start_may_take_effect(&self, now: Millis, config: &LedgerConfig) -> bool {
        let calls = [self.start, self.earlier_start];
        calls.iter().any(|call| call.may_take_effect(now, config.settle_ms, config.call_timeout_ms))
    }

    /// Records that the start call is repeated.
    pub(super) fn retry_start(&mut self, now: Millis) {
        self.earlier_start = std::mem::replace(&mut self.start, StartCall::Open(now));
        self.last_call = now;
    }

    /// Records that the worker has the task, so that start calls which arrive later have no effect.
    pub(super) const fn settle_start(&mut self) {
        self.start = StartCall::Settled;
        self.earlier_start = StartCall::Settled;
    }

    /// Begins to stop the task and returns whether a stop may be sent to the worker immediately.
    pub(super) fn begin_stop(
        &mut self,
        state: TaskState,
        now: Millis,
        config: &LedgerConfig,
    ) -> bool {
        self.enter_phase(Phase::Stopping(state), now);
        self.stop_sent = !self.start_may_take_effect(now, config);
        self.stop_sent
    }

    pub(super) fn report(&self) -> TaskReport {
        TaskReport {
            job: self.job.clone(),
            epoch: self.epoch,
            state: self.phase.reported_state(),
            checkpoint: self.checkpoint.clone(),
            result: self.result.clone(),
            usage: self.usage,
        }
    }

    pub(super) const fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    /// Returns the final state to be reported once the worker confirms the end.
    pub(super) const fn end_state(&self) -> TaskState {
        match self.phase {
            Phase::Stopping(state) | Phase::Ended(state) => state,
            _ => TaskState::Lapsed,
        }
    }
}
