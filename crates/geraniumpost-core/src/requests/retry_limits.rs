/// Bounds on what an entry tries for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryLimits {
    pub(super) attempts: u32,
    pub(super) asks: u32,
    pub(super) no_agent_retry_ms: u64,
}

impl RetryLimits {
    /// Returns four attempts, three questions on each, and a second's pause when no agent is left.
    pub const fn new() -> Self {
        Self { attempts: 4, asks: 3, no_agent_retry_ms: 1_000 }
    }

    /// Sets how many agents one request is sent to at most.
    #[must_use]
    pub const fn attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts;
        self
    }

    /// Sets how many questions are put about one attempt.
    #[must_use]
    pub const fn asks(mut self, asks: u32) -> Self {
        self.asks = asks;
        self
    }
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self::new()
    }
}
