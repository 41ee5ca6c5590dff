use crate::Millis;

/// Weight of a new measurement in the smoothed one.
const SMOOTHING: f64 = 0.3;
/// Smoothed latency, in targets, from which a service counts as pressed.
const HIGH: f64 = 1.0;
/// Smoothed latency, in targets, under which a service counts as calm.
const LOW: f64 = 0.85;

/// A service's recent latency on one worker, with two bounds so that noise between them does
/// nothing.
#[derive(Debug, Clone, Copy)]
pub struct Gauge {
    /// Smoothed p99 in targets.
    pub smoothed: f64,
    /// Smoothed excess of the measured over the predicted p99, in targets.
    pub excess: f64,
    /// Since when the service is pressed without a break.
    pub hot_since: Option<Millis>,
    /// Since when the service is calm without a break.
    pub calm_since: Option<Millis>,
    /// When tasks were last slowed or evicted for it.
    pub acted: Millis,
}

impl Gauge {
    /// Creates a gauge from its first measurement.
    pub fn new(p99: f64, excess: f64, at: Millis) -> Self {
        let mut gauge =
            Self { smoothed: p99, excess, hot_since: None, calm_since: None, acted: Millis(0) };
        gauge.observe(p99, excess, at);
        gauge
    }

    /// Takes a measurement in.
    pub fn observe(&mut self, p99: f64, excess: f64, at: Millis) {
        self.smoothed += SMOOTHING * (p99 - self.smoothed);
        self.excess += SMOOTHING * (excess - self.excess);
        self.hot_since = (self.smoothed > HIGH).then(|| self.hot_since.unwrap_or(at));
        self.calm_since = (self.smoothed < LOW).then(|| self.calm_since.unwrap_or(at));
    }

    /// Returns for how long the service has been pressed.
    pub fn hot_for(&self, now: Millis) -> Option<u64> {
        self.hot_since.map(|since| now.since(since))
    }

    /// Returns for how long the service has been calm.
    pub fn calm_for(&self, now: Millis) -> Option<u64> {
        self.calm_since.map(|since| now.since(since))
    }
}
