use crate::Millis;

/// How far the call that starts a task at the worker has come.
///
/// Until it is settled, a stop could overtake it: the worker would say that there is no such task, and
/// begin it a moment later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartCall {
    /// Made at this time; no answer yet.
    Open(Millis),
    /// Its answer was lost at this time; it may still be on its way to the worker.
    Lost(Millis),
    /// The worker has the task, or never will.
    Settled,
}

impl StartCall {
    /// Returns whether the call may still have its effect.
    pub(super) fn may_arrive(self, now: Millis, settle_ms: u64, longest_ms: u64) -> bool {
        match self {
            Self::Open(since) => now < since.plus(longest_ms),
            Self::Lost(since) => now < since.plus(settle_ms),
            Self::Settled => false,
        }
    }
}
