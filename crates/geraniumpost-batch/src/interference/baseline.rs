/// Variance of a gauge's utilization around the true one.
const GAUGE_NOISE: f64 = 0.000_9;
/// By how much the variance of an own load grows in a second without a gauge: it swings by half within tens
/// of seconds.
const OWN_DRIFT: f64 = 0.003;
/// Own load of a group that showed no gauge yet, and its variance.
const UNSEEN: f64 = 0.5;
const UNSEEN_VARIANCE: f64 = 0.06;

/// The own load of serving tasks that have the same users, as running means of what their gauges showed.
///
/// It is a Kalman filter of one number whose gauges also hold what fills. That part is not known for
/// sure and is learnt at the same time, so the means of what filled are kept beside the mean of the gauges:
/// for any slopes, the one less the other is the filter's estimate.
#[derive(Debug, Clone)]
pub struct Baseline {
    seen_ms: Option<u64>,
    utilization: f64,
    /// Share of the minion's processors in use, by number of the filling image.
    shares: Vec<f64>,
    variance: f64,
}

/// How far a gauge, and what filled then, lie off their running means.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Offset {
    /// Of the utilization.
    pub utilization: f64,
    /// Of the share of each filling image, by its number.
    pub shares: Vec<f64>,
    /// How far the utilization may lie off by itself, as a variance.
    pub variance: f64,
}

impl Default for Baseline {
    fn default() -> Self {
        let (utilization, variance) = (UNSEEN, UNSEEN_VARIANCE);
        Self { seen_ms: None, utilization, shares: Vec::new(), variance }
    }
}

impl Baseline {
    /// Takes in a gauge and what filled then; returns how far they lie off the means so far.
    pub fn update(&mut self, utilization: f64, shares: &[f64], now_ms: u64) -> Offset {
        self.shares.resize(self.shares.len().max(shares.len()), 0.0);
        let before_ms = self.seen_ms.replace(now_ms).unwrap_or(now_ms);
        self.variance += OWN_DRIFT * now_ms.saturating_sub(before_ms) as f64 / 1_000.0;
        let expected = self.variance + GAUGE_NOISE;
        let fresh = self.variance / expected;
        self.variance *= 1.0 - fresh;
        let off = utilization - self.utilization;
        self.utilization += fresh * off;
        let share = |at: usize| shares.get(at).copied().unwrap_or(0.0);
        let means = self.shares.iter().enumerate();
        let shares_off: Vec<f64> = means.map(|(at, mean)| share(at) - mean).collect();
        for (mean, off) in self.shares.iter_mut().zip(&shares_off) {
            *mean += fresh * off;
        }
        Offset { utilization: off, shares: shares_off, variance: expected }
    }

    /// Returns the utilization that is left without what filled, on the high side where little is known.
    pub fn own(&self, slope: impl Fn(usize) -> f64) -> f64 {
        /// Deviations that are added to the estimate.
        const CAUTION: f64 = 0.25;
        let shares = self.shares.iter().enumerate();
        let added: f64 = shares.map(|(at, share)| slope(at) * share).sum();
        (self.utilization - added).max(0.0) + CAUTION * self.variance.sqrt()
    }
}
