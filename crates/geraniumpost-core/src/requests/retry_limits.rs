/// Limits on the attempts and queries that an entry makes for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryLimits {
    pub(super) attempts: u32,
    pub(super) asks: u32,
    pub(super) no_agent_retry_ms: u64,
}

impl RetryLimits {
    /// Returns the defaults: four attempts, three queries about each since the agent last reported
    /// it running, and an advised delay of one second if no agent named a delay.
    pub const fn new() -> Self {
        Self { attempts: 4, asks: 3, no_agent_retry_ms: 1_000 }
    }

    /// Sets the maximum number of attempts, each of which is made at another agent.
    #[must_use]
    pub const fn attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts;
        self
    }

    /// Sets the maximum number of queries about one attempt since the agent last reported the
    /// attempt running.
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
