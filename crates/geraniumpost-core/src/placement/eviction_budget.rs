use std::collections::VecDeque;

use crate::Millis;

const MINUTE_MS: u64 = 60_000;

/// Limits evictions per minute, so that high latency on many workers does not evict tasks on all of
/// them at once.
#[derive(Debug, Clone, Default)]
pub struct EvictionBudget {
    spent: VecDeque<Millis>,
}

impl EvictionBudget {
    /// Returns how many evictions may still be ordered this minute.
    pub fn remaining(&mut self, now: Millis, per_minute: u32) -> u32 {
        while self.spent.front().is_some_and(|at| now.since(*at) >= MINUTE_MS) {
            self.spent.pop_front();
        }
        per_minute.saturating_sub(self.spent.len() as u32)
    }

    /// Counts an eviction against the budget.
    pub fn spend(&mut self, now: Millis) {
        self.spent.push_back(now);
    }
}
