/// A new sample moves the mean by this fraction of the difference.
const SMOOTHING: u64 = 16;
/// A sample counts at most this many times the mean, so that one stuck request does not make every
/// deadline look hopeless.
const MOST_TIMES: u64 = 4;

/// Smoothed mean and mean deviation of service times, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Smoothed {
    mean_us: u64,
    deviation_us: u64,
}

impl Smoothed {
    /// Moves towards `sample_us`, starting with the first sample itself.
    pub(super) const fn record(&mut self, sample_us: u64) {
        if self.mean_us == 0 {
            self.mean_us = if sample_us == 0 { 1 } else { sample_us };
            return;
        }
        let most = self.mean_us.saturating_mul(MOST_TIMES);
        let sample_us = if sample_us < most { sample_us } else { most };
        let off = sample_us.abs_diff(self.mean_us);
        self.deviation_us = (self.deviation_us * (SMOOTHING - 1) + off) / SMOOTHING;
        let mean_us = (self.mean_us * (SMOOTHING - 1) + sample_us) / SMOOTHING;
        self.mean_us = if mean_us == 0 { 1 } else { mean_us };
    }

    /// Smoothed mean, 0 before the first sample.
    pub(super) const fn mean_us(&self) -> u64 {
        self.mean_us
    }

    /// Time within which most runs end: the mean and one mean deviation.
    ///
    /// By the mean alone, half of what is started just in time ends too late, and the slot's time is
    /// spent on nothing; see `docs/design/0103-fair-queue.md` for the figures.
    pub(super) const fn mostly_us(&self) -> u64 {
        self.mean_us + self.deviation_us
    }
}
