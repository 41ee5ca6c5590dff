/// When an agent counts as dead, and when it is forgotten.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipLimits {
    pub(super) failed_after_ms: u64,
    pub(super) forget_after_ms: u64,
}

impl MembershipLimits {
    /// Returns the limits for agents that announce themselves every `heartbeat_ms` milliseconds.
    ///
    /// Three heartbeats may be lost and the next half an interval late: 1,750 ms at 500 ms.
    pub const fn new(heartbeat_ms: u64) -> Self {
        Self { failed_after_ms: heartbeat_ms * 7 / 2, forget_after_ms: 600_000 }
    }

    /// Sets the silence after which an agent counts as dead.
    #[must_use]
    pub const fn failed_after_ms(mut self, ms: u64) -> Self {
        self.failed_after_ms = ms;
        self
    }

    /// Sets how long a dead agent's incarnation is remembered, so that its late heartbeats do not
    /// bring it back.
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
