use std::time::Duration;

/// Shortest time given to a call, in milliseconds: the store's usual 4 ms, and the pauses of a
/// small VM whose processor time is used up.
const MIN_TIMEOUT_MS: u64 = 250;
/// Longest time given to a call, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 2_000;
/// Longest time given to a call after others had no answer, in milliseconds. A call that waits for a
/// store that is away does not notice its return, so the coordinator would be the last to know.
const MAX_BACKOFF_MS: u64 = 1_000;
/// How much longer than usual a call may take.
const TIMEOUT_FACTOR: u64 = 6;

/// How long a call may take, learnt from how long calls take.
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
    /// Returns the time to give to the next call.
    pub const fn get(self) -> Duration {
        Duration::from_millis(self.current_ms)
    }

    /// Takes note of a call that was answered after `took`.
    pub fn record_response(&mut self, elapsed: Duration) {
        self.average_ms = (self.average_ms * 3 + elapsed.as_millis() as u64) / 4;
        let target_ms = self.average_ms * TIMEOUT_FACTOR;
        self.current_ms = target_ms.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
    }

    /// Takes note of a call without an answer: a store that is slow must not look lost for ever.
    pub fn record_no_response(&mut self) {
        let doubled_ms = (self.current_ms * 2).min(MAX_BACKOFF_MS);
        self.current_ms = self.current_ms.max(doubled_ms);
    }
}
