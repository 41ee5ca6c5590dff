use geraniumpost_schema::Load;

use super::smoothed_time::SmoothedTime;
use crate::Micros;

/// Divisor of the exponential smoothing: each run moves the share of failures 1/16 of the way to 0
/// or 1.
const SMOOTHING_DIVISOR: u64 = 16;
/// Maximum number of recent successful runs from which the 99th percentile is computed.
const MAX_RECENT_SAMPLES: usize = 256;

/// Smoothed service time, recent 99th percentile and share of failures of a minion.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceTimes {
    smoothed: SmoothedTime,
    failures_millionths: u64,
    recent_us: Vec<u64>,
    next_index: usize,
}

impl ServiceTimes {
    /// Records one run. Failed runs do not count towards the service time, because a minion that
    /// fails immediately would otherwise appear fast.
    pub(super) fn record(&mut self, duration: Micros, success: bool) {
        let failure = if success { 0 } else { 1_000_000 };
        self.failures_millionths =
            (self.failures_millionths * (SMOOTHING_DIVISOR - 1) + failure) / SMOOTHING_DIVISOR;
        if success {
            self.smoothed.record(duration.0);
            self.record_recent_us(duration.0);
        }
    }

    fn record_recent_us(&mut self, duration_us: u64) {
        if self.recent_us.len() < MAX_RECENT_SAMPLES {
            self.recent_us.push(duration_us);
            return;
        }
        self.recent_us[self.next_index] = duration_us;
        self.next_index = (self.next_index + 1) % MAX_RECENT_SAMPLES;
    }

    /// Smoothed service time; its mean is 0 before the first successful run.
    pub(super) const fn smoothed_time(&self) -> SmoothedTime {
        self.smoothed
    }

    /// Returns the load report for `in_flight` running and `queued` waiting requests.
    pub(super) fn load(&self, in_flight: usize, queued: usize) -> Load {
        Load {
            in_flight: in_flight as u32,
            queued: queued as u32,
            service_us: self.smoothed.mean_us(),
            p99_us: self.p99_us(),
            failures_permille: (self.failures_millionths / 1000) as u32,
        }
    }

    fn p99_us(&self) -> u64 {
        let mut recent_us = self.recent_us.clone();
        if recent_us.is_empty() {
            return 0;
        }
        let rank = recent_us.len() * 99 / 100;
        *recent_us.select_nth_unstable(rank).1
    }
}
