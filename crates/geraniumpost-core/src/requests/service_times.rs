use geraniumpost_schema::Load;

use super::smoothed::Smoothed;
use crate::Micros;

/// A new sample moves the share of failures by this fraction of the difference.
const SMOOTHING: u64 = 16;
/// Service times kept for the percentile.
const KEPT: usize = 256;

/// Smoothed service time, recent 99th percentile and share of failures of a minion.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceTimes {
    smoothed: Smoothed,
    failures_millionth: u64,
    recent: Vec<u64>,
    next: usize,
}

impl ServiceTimes {
    /// Takes in one run. A failed one does not count as service time: a minion that fails at once
    /// would otherwise report that it is fast.
    pub(super) fn record(&mut self, took: Micros, success: bool) {
        let failure = if success { 0 } else { 1_000_000 };
        self.failures_millionth = (self.failures_millionth * (SMOOTHING - 1) + failure) / SMOOTHING;
        if success {
            self.smoothed.record(took.0);
            self.keep(took.0);
        }
    }

    fn keep(&mut self, took_us: u64) {
        if self.recent.len() < KEPT {
            self.recent.push(took_us);
            return;
        }
        self.recent[self.next] = took_us;
        self.next = (self.next + 1) % KEPT;
    }

    /// Smoothed service time, empty before the first success.
    pub(super) const fn smoothed(&self) -> Smoothed {
        self.smoothed
    }

    /// Returns the load with `in_flight` requests running and `queued` waiting.
    pub(super) fn load(&self, in_flight: usize, queued: usize) -> Load {
        Load {
            in_flight: in_flight as u32,
            queued: queued as u32,
            service_us: self.smoothed.mean_us(),
            p99_us: self.p99_us(),
            failures_permille: (self.failures_millionth / 1000) as u32,
        }
    }

    fn p99_us(&self) -> u64 {
        let mut recent = self.recent.clone();
        if recent.is_empty() {
            return 0;
        }
        let rank = recent.len() * 99 / 100;
        *recent.select_nth_unstable(rank).1
    }
}
