/// Divisor of the exponential smoothing: the mean moves 1/16 of the way to each sample.
const SMOOTHING_DIVISOR: u64 = 16;
/// A sample counts as at most this multiple of the mean, so that a single stuck request does not
/// make every deadline appear unreachable.
const MAX_SAMPLE_FACTOR: u64 = 4;

/// Smoothed mean and mean deviation of service times, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct SmoothedTime {
    mean_us: u64,
    deviation_us: u64,
}

impl SmoothedTime {
    /// Records a sample. The first sample sets the mean.
    pub(super) const fn record(&mut self, sample_us: u64) {
        if self.mean_us == 0 {
            self.mean_us = if sample_us == 0 { 1 } else { sample_us };
            return;
        }
        let max_sample_us = self.mean_us.saturating_mul(MAX_SAMPLE_FACTOR);
        let sample_us = if sample_us < max_sample_us { sample_us } else { max_sample_us };
        let difference_us = sample_us.abs_diff(self.mean_us);
        self.deviation_us =
            (self.deviation_us * (SMOOTHING_DIVISOR - 1) + difference_us) / SMOOTHING_DIVISOR;
        let mean_us = (self.mean_us * (SMOOTHING_DIVISOR - 1) + sample_us) / SMOOTHING_DIVISOR;
        self.mean_us = if mean_us == 0 { 1 } else { mean_us };
    }

    /// Smoothed mean in microseconds, 0 before the first sample.
    pub(super) const fn mean_us(&self) -> u64 {
        self.mean_us
    }

    /// Time within which most runs end, in microseconds: the mean plus one mean deviation.
    ///
    /// With the mean alone, half of the requests that start just in time would end too late, and
    /// their slot time would be wasted; see `docs/design/0103-fair-queue.md` for the measurements.
    pub(super) const fn mean_plus_deviation_us(&self) -> u64 {
        self.mean_us + self.deviation_us
    }
}
