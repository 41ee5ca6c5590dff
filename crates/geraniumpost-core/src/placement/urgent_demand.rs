use std::collections::VecDeque;

use geraniumpost_schema::Resources;

use super::amounts;
use crate::Millis;

/// How long an urgent start counts.
const WINDOW_MS: u64 = 120_000;
/// Urgent starts within the window for which one room is kept free.
const STARTS_PER_ROOM: usize = 8;
/// One worker in this many may have a room kept free.
const SHARE: usize = 4;

/// How much room to keep free for the next urgent jobs, from the latest ones.
///
/// Without it nearly each urgent start in a full fleet evicts a batch task: one would notice by
/// evictions that keep step with urgent jobs. Where none came of late, nothing is kept.
#[derive(Debug, Clone, Default)]
pub struct UrgentDemand {
    starts: VecDeque<(Millis, Resources)>,
}

impl UrgentDemand {
    /// Notes an urgent start.
    pub fn note(&mut self, now: Millis, need: &Resources) {
        self.starts.push_back((now, *need));
    }

    /// Returns how many rooms to keep free among `workers`.
    pub fn rooms(&mut self, now: Millis, workers: usize) -> usize {
        while self.starts.front().is_some_and(|(at, _)| now.since(*at) >= WINDOW_MS) {
            self.starts.pop_front();
        }
        self.starts.len().div_ceil(STARTS_PER_ROOM).min(workers / SHARE)
    }

    /// Returns the size of a room: enough for any of the latest urgent jobs.
    pub fn room(&self) -> Resources {
        self.starts
            .iter()
            .fold(amounts::NONE, |room, (_, need)| amounts::component_max(&room, need))
    }
}
