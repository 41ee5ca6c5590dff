use crate::Millis;

/// Progress of the call that starts a task at the worker.
///
/// Until the call is settled, a stop could overtake it: the worker would respond that there is no
/// such task, and start it shortly afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartCall {
    /// The call was made at this instant and has no response yet.
    Open(Millis),
    /// The response was lost at this instant; the call may still be in transit to the worker.
    Lost(Millis),
    /// The worker has the task, or will never start it.
    Settled,
}

impl StartCall {
    /// Returns whether the call may still take effect.
    pub(super) fn may_take_effect(self, now: Millis, settle_ms: u64, timeout_ms: u64) -> bool {
        match self {
            Self::Open(since) => now < since.plus(timeout_ms),
            Self::Lost(since) => now < since.plus(settle_ms),
            Self::Settled => false,
        }
    }
}
