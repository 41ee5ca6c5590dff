use std::time::Duration;

/// Lower bound of the timeout, in milliseconds. The store usually responds within 4 ms; the margin
/// covers pauses of a small VM that has used up its processor time.
const MIN_TIMEOUT_MS: u64 = 250;
/// Upper bound of the timeout that follows from measured response times, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 2_000;
/// Upper bound up to which each call without a response doubles the timeout, in milliseconds. A
/// call that was sent to an unavailable store gets no response even after the store has recovered,
/// so a longer timeout would delay the next call.
const MAX_BACKOFF_MS: u64 = 1_000;
/// Ratio of the timeout to the moving average of response times.
const TIMEOUT_FACTOR: u64 = 6;

/// Timeout of calls to the store, derived from the response times of earlier calls.
#[derive(Debug, Clone, Copy)]
pub struct AdaptiveTimeout {
    average_response_ms: u64,
    timeout_ms: u64,
}

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        Self { average_response_ms: 4, timeout_ms: MIN_TIMEOUT_MS }
    }
}

impl AdaptiveTimeout {
    /// Returns the timeout of the next call.
    pub const fn get(self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Records a response that arrived after `elapsed`, and adapts the timeout to the average
    /// response time.
    pub fn record_response(&mut self, elapsed: Duration) {
        self.average_response_ms = (self.average_response_ms * 3 + elapsed.as_millis() as u64) / 4;
        let target_ms = self.average_response_ms * TIMEOUT_FACTOR;
        self.timeout_ms = target_ms.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
    }

    /// Records a call without a response, and increases the timeout. With a constant timeout, a
    /// slow store would seem unavailable forever.
    pub fn record_no_response(&mut self) {
        let doubled_ms = (self.timeout_ms * 2).min(MAX_BACKOFF_MS);
        self.timeout_ms = self.timeout_ms.max(doubled_ms);
    }
}
