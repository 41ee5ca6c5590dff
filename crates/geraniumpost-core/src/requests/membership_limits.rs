/// Times without a heartbeat after which an agent counts as failed and is forgotten.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipLimits {
    pub(super) failed_after_ms: u64,
    pub(super) forget_after_ms: u64,
}

impl MembershipLimits {
    /// Returns the limits for agents that send a heartbeat every `heartbeat_ms` milliseconds.
    ///
    /// An agent counts as failed after three and a half intervals without a heartbeat: three
    /// heartbeats may be lost and the next may be late by half an interval. This is 1,750 ms at an
    /// interval of 500 ms.
    pub const fn new(heartbeat_ms: u64) -> Self {
        Self { failed_after_ms: heartbeat_ms * 7 / 2, forget_after_ms: 600_000 }
    }

    /// Sets the time without a heartbeat, in milliseconds, after which an agent counts as failed.
    #[must_use]
    pub const fn failed_after_ms(mut self, ms: u64) -> Self {
        self.failed_after_ms = ms;
        self
    }

    /// Sets how long the incarnation of a failed agent is remembered after its last heartbeat, in
    /// milliseconds, so that late heartbeats do not revive it.
    #[must_use]
    pub const fn forget_after_ms(mut self, ms: u64) -> Self {
        self.forget_after_ms = ms;
        self
    }
}

impl Default for MembershipLimits {
    fn default() -> Self {
        Self::new(500)
    }
}
