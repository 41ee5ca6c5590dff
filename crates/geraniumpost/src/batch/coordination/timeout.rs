use std::time::Duration;

/// Shortest time given to a call, in milliseconds: the store's usual 4 ms, and the pauses of a
/// small VM whose processor time is used up.
const SHORTEST_TIMEOUT_MS: u64 = 250;
/// Longest time given to a call, in milliseconds.
const LONGEST_TIMEOUT_MS: u64 = 2_000;
/// Longest time given to a call after others had no answer, in milliseconds. A call that waits for a
/// store that is away does not notice its return, so the coordinator would be the last to know.
const LONGEST_DOUBLED_MS: u64 = 1_000;
/// How much longer than usual a call may take.
const TIMES_USUAL: u64 = 6;

/// How long a call may take, learnt from how long calls take.
#[derive(Debug, Clone, Copy)]
pub struct Timeout {
    usual_ms: u64,
    now_ms: u64,
}

impl Default for Timeout {
    fn default() -> Self {
        Self { usual_ms: 4, now_ms: SHORTEST_TIMEOUT_MS }
    }
}

impl Timeout {
    /// Returns the time to give to the next call.
    pub const fn get(self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    /// Takes note of a call that was answered after `took`.
    pub fn answered(&mut self, took: Duration) {
        self.usual_ms = (self.usual_ms * 3 + took.as_millis() as u64) / 4;
        let wanted_ms = self.usual_ms * TIMES_USUAL;
        self.now_ms = wanted_ms.clamp(SHORTEST_TIMEOUT_MS, LONGEST_TIMEOUT_MS);
    }

    /// Takes note of a call without an answer: a store that is slow must not look lost for ever.
    pub fn unanswered(&mut self) {
        let doubled_ms = (self.now_ms * 2).min(LONGEST_DOUBLED_MS);
        self.now_ms = self.now_ms.max(doubled_ms);
    }
}
