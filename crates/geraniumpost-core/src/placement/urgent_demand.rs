use std::collections::VecDeque;

use geraniumpost_schema::Resources;

use super::amounts;
use crate::Millis;

/// Time for which an urgent start counts as recent.
const WINDOW_MS: u64 = 120_000;
/// Number of recent urgent starts for each worker that keeps capacity free; the number of workers
/// is rounded up.
const STARTS_PER_WORKER: usize = 8;
/// At most one worker in this many keeps capacity free.
const WORKERS_PER_URGENT_RESERVATION: usize = 4;

/// Estimates from recent urgent starts how much capacity to keep free for the next urgent jobs.
///
/// Without free capacity nearly every urgent start in a full fleet evicts a batch task. If no
/// urgent jobs started recently, no capacity is kept free.
#[derive(Debug, Clone, Default)]
pub struct UrgentDemand {
    /// Times and needs of the urgent starts, oldest first.
    starts: VecDeque<(Millis, Resources)>,
}

impl UrgentDemand {
    pub fn record_start(&mut self, now: Millis, need: &Resources) {
        self.starts.push_back((now, *need));
    }

    /// Returns the number of workers, out of `workers`, that should keep capacity free.
    pub fn workers_to_reserve(&mut self, now: Millis, workers: usize) -> usize {
        while self.starts.front().is_some_and(|(at, _)| now.since(*at) >= WINDOW_MS) {
            self.starts.pop_front();
        }
        self.starts.len().div_ceil(STARTS_PER_WORKER).min(workers / WORKERS_PER_URGENT_RESERVATION)
    }

    /// Returns the capacity that each worker counted by
    /// [`workers_to_reserve`](Self::workers_to_reserve) should keep free: enough for any one of the
    /// recent urgent jobs.
    pub fn capacity_per_worker(&self) -> Resources {
        self.starts
            .iter()
            .fold(amounts::NONE, |capacity, (_, need)| amounts::component_max(&capacity, need))
    }
}
