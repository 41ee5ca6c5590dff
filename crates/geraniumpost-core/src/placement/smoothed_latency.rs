use crate::Millis;

/// Weight of a new measurement in the smoothed one.
const SMOOTHING: f64 = 0.3;
/// Smoothed p99, in targets, above which latency counts as high.
const HIGH_THRESHOLD: f64 = 1.0;
/// Smoothed p99, in targets, below which latency counts as low.
const LOW_THRESHOLD: f64 = 0.85;

/// A service's recent latency on one worker. Between the two thresholds it is neither high nor low,
/// so noise there causes no action.
#[derive(Debug, Clone, Copy)]
pub struct SmoothedLatency {
    /// Smoothed p99, in targets.
    pub smoothed: f64,
    /// Smoothed excess of the measured over the predicted p99, in targets.
    pub excess: f64,
    /// Since when the latency has been high without interruption.
    pub high_since: Option<Millis>,
    /// Since when the latency has been low without interruption.
    pub low_since: Option<Millis>,
    /// When a task was last slowed, sped up or evicted because of it.
    pub last_action: Millis,
}

impl SmoothedLatency {
    /// Creates the latency from its first measurement.
    pub fn new(p99: f64, excess: f64, at: Millis) -> Self {
        let mut latency = Self {
            smoothed: p99,
            excess,
            high_since: None,
            low_since: None,
            last_action: Millis(0),
        };
        latency.observe(p99, excess, at);
        latency
    }

    /// Adds a measurement.
    pub fn observe(&mut self, p99: f64, excess: f64, at: Millis) {
        self.smoothed += SMOOTHING * (p99 - self.smoothed);
        self.excess += SMOOTHING * (excess - self.excess);
        self.high_since = (self.smoothed > HIGH_THRESHOLD).then(|| self.high_since.unwrap_or(at));
        self.low_since = (self.smoothed < LOW_THRESHOLD).then(|| self.low_since.unwrap_or(at));
    }

    /// Returns for how many milliseconds the latency has been high.
    pub fn high_for(&self, now: Millis) -> Option<u64> {
        self.high_since.map(|since| now.since(since))
    }

    /// Returns for how many milliseconds the latency has been low.
    pub fn low_for(&self, now: Millis) -> Option<u64> {
        self.low_since.map(|since| now.since(since))
    }
}
