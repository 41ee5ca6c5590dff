use super::ExpectedDuration;

/// Multiple of the duration that a tenth of the runs exceed, beyond which a run counts as a
/// straggler.
const STRAGGLER_FACTOR: u64 = 2;
/// Time from which a run's progress tells its duration, in milliseconds: a poll has then listed it
/// at least once.
const MIN_ELAPSED_MS: u64 = 600;
/// Time until a copy works, in milliseconds.
const COPY_START_MS: u64 = 200;

/// What is known of a run that is still at work.
#[derive(Debug, Clone, Copy)]
pub struct ObservedRun {
    /// Time since the run started, in milliseconds.
    pub elapsed_ms: u64,
    /// Last reported progress.
    pub progress_percent: u8,
    /// Time from the run's start to the change of its progress, in milliseconds.
    pub progress_after_ms: u64,
}

impl ObservedRun {
    /// Returns how long the run takes in total by its progress, in milliseconds. A run without
    /// progress is assumed to take twice as long as it has taken.
    pub fn total_ms(&self) -> u64 {
        let total_ms = match self.progress_percent {
            0 => 2 * self.elapsed_ms,
            percent => self.progress_after_ms * 100 / u64::from(percent.min(100)),
        };
        total_ms.max(self.elapsed_ms)
    }

    /// Returns whether the run is far slower than its class, and a copy that starts now and takes
    /// as long as half of its class ends well before it.
    pub fn is_worth_a_copy(&self, expected: ExpectedDuration) -> bool {
        let total_ms = self.total_ms();
        let limit_ms = STRAGGLER_FACTOR * expected.slow_ms;
        // Without progress only the time that has passed shows that the run is slow.
        let shown_ms = if self.progress_percent == 0 { self.elapsed_ms } else { total_ms };
        let copy_ms = expected.median_ms + expected.median_ms / 4 + COPY_START_MS;
        self.elapsed_ms >= (expected.median_ms / 2).max(MIN_ELAPSED_MS)
            && shown_ms > limit_ms
            && total_ms - self.elapsed_ms > copy_ms
    }
}
