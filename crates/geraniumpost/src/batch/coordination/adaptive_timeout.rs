use std::time::Duration;

/// Shortest timeout, in milliseconds. The store usually takes 4 ms; the rest covers pauses of a
/// small VM whose processor time is used up.
const MIN_TIMEOUT_MS: u64 = 250;
/// Longest timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 2_000;
/// Timeout up to which unanswered calls double it, in milliseconds. A call that was sent to an
/// unavailable store does not notice its return, so longer timeouts would delay the recovery.
const MAX_BACKOFF_MS: u64 = 1_000;
/// Ratio of the timeout to the average response time.
const TIMEOUT_FACTOR: u64 = 6;

/// Timeout of calls to the store, derived from the response times of earlier calls.
#[derive(Debug, Clone, Copy)]
pub struct AdaptiveTimeout {
    average_ms: u64,
    current_ms: u64,
}

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        Self { average_ms: 4, current_ms: MIN_TIMEOUT_MS }
    }
}

impl AdaptiveTimeout {
    /// Returns the timeout of the next call.
    pub const fn get(self) -> Duration {
        Duration::from_millis(self.current_ms)
    }

    /// Records a call that was answered after `elapsed`.
    pub fn record_response(&mut self, elapsed: Duration) {
        self.average_ms = (self.average_ms * 3 + elapsed.as_millis() as u64) / 4;
        let target_ms = self.average_ms * TIMEOUT_FACTOR;
        self.current_ms = target_ms.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
    }

    /// Records a call without a response. The timeout grows, so that a slow store is not taken for
    /// unavailable forever.
    pub fn record_no_response(&mut self) {
        let doubled_ms = (self.current_ms * 2).min(MAX_BACKOFF_MS);
        self.current_ms = self.current_ms.max(doubled_ms);
    }
}
