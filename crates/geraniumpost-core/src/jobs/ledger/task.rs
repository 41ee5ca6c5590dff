use geraniumpost_schema::{Name, Resources, StartTask, TaskReport, TaskState};

use super::{LedgerConfig, Phase, StartCall};
use crate::{Millis, placement::amounts::component_max};

/// One run in the ledger.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) job: Name,
    pub(super) epoch: u64,
    /// Declared size; of an adopted task it is not known until the planner tells it again.
    pub(super) need: Option<Resources>,
    pub(super) usage: Resources,
    pub(super) peak: Resources,
    pub(super) phase: Phase,
    pub(super) checkpoint: Name,
    pub(super) result: String,
    /// When the phase began.
    pub(super) since: Millis,
    /// When a call was last made or a report last sent for this phase.
    pub(super) last_call: Millis,
    pub(super) last_report: Millis,
    pub(super) last_renewal: Millis,
    /// When a checkpoint was last asked for while it ran.
    pub(super) last_checkpoint: Millis,
    /// When the worker will surely have ended the task by itself.
    pub(super) lease_until: Millis,
    pub(super) failed_checkpoints: u32,
    pub(super) start: StartCall,
    /// The last earlier call whose answer was lost. What the worker says of a repeat is no word on that
    /// call: it may be refused, and the earlier one taken a moment later.
    pub(super) earlier_start: StartCall,
    /// Whether the worker was asked to end it in this phase.
    pub(super) stop_sent: bool,
    /// The order, kept to repeat the call to the worker; none for an adopted task.
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
            since: now,
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

    /// Returns what the task counts for: never below what was seen of it.
    pub(super) fn size(&self) -> Resources {
        let need = self.need.unwrap_or_default();
        if self.phase.is_live() { component_max(&need, &self.peak) } else { Resources::default() }
    }

    pub(super) fn enter(&mut self, phase: Phase, now: Millis) {
        self.phase = phase;
        self.since = now;
        self.last_call = now;
    }

    pub(super) fn observe(&mut self, usage: Resources, checkpoint: &Name) {
        self.usage = usage;
        self.peak = component_max(&self.peak, &usage);
        if !checkpoint.is_empty() {
            self.checkpoint = checkpoint.clone();
        }
    }

    /// Returns whether a call that starts the task may still reach the worker and begin it.
    pub(super) fn start_may_arrive(&self, now: Millis, config: &LedgerConfig) -> bool {
        let calls = [self.start, self.earlier_start];
        calls.iter().any(|call| call.may_arrive(now, config.settle_ms, config.call_timeout_ms))
    }

    /// Takes note that the call that starts the task is made again.
    pub(super) fn repeat_start(&mut self, now: Millis) {
        self.earlier_start = std::mem::replace(&mut self.start, StartCall::Open(now));
        self.last_call = now;
    }

    /// Takes note that the worker has the task, so that calls that still arrive begin nothing.
    pub(super) const fn start_is_settled(&mut self) {
        self.start = StartCall::Settled;
        self.earlier_start = StartCall::Settled;
    }

    /// Begins to end the task and returns whether the worker can be told so at once.
    pub(super) fn begin_stop(
        &mut self,
        state: TaskState,
        now: Millis,
        config: &LedgerConfig,
    ) -> bool {
        self.enter(Phase::Stopping(state), now);
        self.stop_sent = !self.start_may_arrive(now, config);
        self.stop_sent
    }

    pub(super) fn report(&self) -> TaskReport {
        TaskReport {
            job: self.job.clone(),
            epoch: self.epoch,
            state: self.phase.report(),
            checkpoint: self.checkpoint.clone(),
            result: self.result.clone(),
            usage: self.usage,
        }
    }

    pub(super) const fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    /// Returns how the task ends once the worker's word is there.
    pub(super) const fn end_state(&self) -> TaskState {
        match self.phase {
            Phase::Stopping(state) | Phase::Ended(state) => state,
            _ => TaskState::Lapsed,
        }
    }
}
