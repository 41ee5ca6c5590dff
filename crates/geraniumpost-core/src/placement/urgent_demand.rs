use std::collections::VecDeque;

use geraniumpost_schema::Resources;

use super::amounts;
use crate::Millis;

/// How long an urgent start counts.
const WINDOW_MS: u64 = 120_000;
/// Number of urgent starts within the window for which one worker keeps capacity free.
const STARTS_PER_WORKER: usize = 8;
/// One worker in this many may keep capacity free.
const WORKERS_PER_RESERVED: usize = 4;

/// How much capacity to keep free for the next urgent jobs, estimated from the latest ones.
///
/// Without free capacity nearly each urgent start in a full fleet evicts a batch task. If there
/// were no urgent jobs recently, none is kept free.
#[derive(Debug, Clone, Default)]
pub struct UrgentDemand {
    starts: VecDeque<(Millis, Resources)>,
}

impl UrgentDemand {
    pub fn record_start(&mut self, now: Millis, need: &Resources) {
        self.starts.push_back((now, *need));
    }

    /// Returns how many of `workers` should keep capacity free.
    pub fn workers_to_reserve(&mut self, now: Millis, workers: usize) -> usize {
        while self.starts.front().is_some_and(|(at, _)| now.since(*at) >= WINDOW_MS) {
            self.starts.pop_front();
        }
        self.starts.len().div_ceil(STARTS_PER_WORKER).min(workers / WORKERS_PER_RESERVED)
    }

    /// Returns the capacity that each of them should keep free: enough for any of the latest urgent
    /// jobs.
    pub fn capacity(&self) -> Resources {
        self.starts
            .iter()
            .fold(amounts::NONE, |capacity, (_, need)| amounts::component_max(&capacity, need))
    }
}
