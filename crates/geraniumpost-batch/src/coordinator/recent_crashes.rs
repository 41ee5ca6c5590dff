use std::collections::VecDeque;

/// Time for which a crash is remembered, in milliseconds: several lives of a minion that crashes
/// again and again.
const CRASH_MEMORY_MS: u64 = 30_000;
/// Maximum number of remembered crashes; more make no difference.
const MAX_CRASHES: usize = 32;

/// The times of the latest crashes, on the monotonic clock in milliseconds.
#[derive(Debug, Default)]
pub(super) struct RecentCrashes(VecDeque<u64>);

impl RecentCrashes {
    pub(super) fn add(&mut self, now_ms: u64) {
        if self.0.len() == MAX_CRASHES {
            self.0.pop_front();
        }
        self.0.push_back(now_ms);
    }

    /// Returns how many crashes are remembered.
    pub(super) fn count(&self, now_ms: u64) -> usize {
        self.0.iter().filter(|at_ms| now_ms < **at_ms + CRASH_MEMORY_MS).count()
    }
}
