use crate::Millis;

/// Weight of a new measurement in the exponentially smoothed values.
const SMOOTHING: f64 = 0.3;
/// Smoothed p99, as a multiple of the target, above which latency counts as high.
const HIGH_P99_RATIO: f64 = 1.0;
/// Smoothed p99, as a multiple of the target, below which latency counts as low.
const LOW_P99_RATIO: f64 = 0.85;

/// Recent latency of a service on one worker. Between the two thresholds latency is neither high
/// nor low, so that fluctuations around the target cause no action.
#[derive(Debug, Clone, Copy)]
pub struct SmoothedLatency {
    /// Smoothed p99, as a multiple of the target.
    pub smoothed_p99: f64,
    /// Smoothed difference of the measured and the predicted p99, as a multiple of the target.
    pub excess: f64,
    /// Start of the current period of high latency; `None` if latency is not high.
    pub high_since: Option<Millis>,
    /// Start of the current period of low latency; `None` if latency is not low.
    pub low_since: Option<Millis>,
    /// Time at which a task was last throttled, sped up or evicted because of this latency.
    pub last_action: Millis,
}

impl SmoothedLatency {
    /// Creates the state after the first measurement. `p99` and `excess` are multiples of the
    /// target.
    pub fn new(p99: f64, excess: f64, at: Millis) -> Self {
        let mut latency = Self {
            smoothed_p99: p99,
            excess,
            high_since: None,
            low_since: None,
            last_action: Millis(0),
        };
        latency.observe(p99, excess, at);
        latency
    }

    /// Adds a measurement made at `at`. `p99` and `excess` are multiples of the target.
    pub fn observe(&mut self, p99: f64, excess: f64, at: Millis) {
        self.smoothed_p99 += SMOOTHING * (p99 - self.smoothed_p99);
        self.excess += SMOOTHING * (excess - self.excess);
        self.high_since =
            (self.smoothed_p99 > HIGH_P99_RATIO).then(|| self.high_since.unwrap_or(at));
        self.low_since = (self.smoothed_p99 < LOW_P99_RATIO).then(|| self.low_since.unwrap_or(at));
    }

    /// Returns the milliseconds for which latency has been high, or `None` if latency is not high.
    pub fn high_duration_ms(&self, now: Millis) -> Option<u64> {
        self.high_since.map(|since| now.since(since))
    }

    /// Returns the milliseconds for which latency has been low, or `None` if latency is not low.
    pub fn low_duration_ms(&self, now: Millis) -> Option<u64> {
        self.low_since.map(|since| now.since(since))
    }
}
