use std::collections::VecDeque;

use crate::Millis;

const MINUTE_MS: u64 = 60_000;

/// Limits the evictions in any period of one minute, so that high latency on many workers does not
/// cause evictions on all these workers at the same time.
#[derive(Debug, Clone, Default)]
pub struct EvictionBudget {
    /// Times of the evictions in the last minute.
    eviction_times: VecDeque<Millis>,
}

impl EvictionBudget {
    /// Returns how many evictions may be ordered now: `per_minute` minus those of the last minute.
    pub fn remaining(&mut self, now: Millis, per_minute: u32) -> u32 {
        while self.eviction_times.front().is_some_and(|at| now.since(*at) >= MINUTE_MS) {
            self.eviction_times.pop_front();
        }
        per_minute.saturating_sub(self.eviction_times.len() as u32)
    }

    pub fn spend(&mut self, now: Millis) {
        self.eviction_times.push_back(now);
    }
}
