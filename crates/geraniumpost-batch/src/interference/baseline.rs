/// Variance of a gauge's utilization around the true value.
const GAUGE_NOISE: f64 = 0.000_9;
/// Growth of the variance of the own load per second without a gauge: the load changes by half
/// within tens of seconds.
const OWN_LOAD_DRIFT: f64 = 0.003;
/// Assumed own load of a group without a gauge so far, and its variance.
const INITIAL_UTILIZATION: f64 = 0.5;
const INITIAL_VARIANCE: f64 = 0.06;

/// Running means of the gauges of serving tasks that have the same users, from which their own load
/// follows.
///
/// This is a one-dimensional Kalman filter for the own load. Its gauges also contain the effect of
/// best-effort tasks, whose slopes are learned at the same time. The filter therefore keeps the
/// mean processor shares of the best-effort images beside the mean utilization: for any slopes, the
/// mean utilization minus the mean shares times their slopes is the filter's estimate.
#[derive(Debug, Clone)]
pub struct Baseline {
    /// Time of the last gauge.
    updated_ms: Option<u64>,
    /// Mean utilization.
    utilization: f64,
    /// Mean share of the minion's processors in use, by index of the best-effort image.
    shares: Vec<f64>,
    /// Variance of the own load.
    variance: f64,
}

/// Deviation of a gauge and of the best-effort images' processor shares from their running means.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Deviation {
    /// Deviation of the utilization.
    pub utilization: f64,
    /// Deviation of the processor share, by index of the best-effort image.
    pub shares: Vec<f64>,
    /// Variance of the utilization's deviation that is not due to best-effort tasks.
    pub variance: f64,
}

impl Default for Baseline {
    fn default() -> Self {
        let (utilization, variance) = (INITIAL_UTILIZATION, INITIAL_VARIANCE);
        Self { updated_ms: None, utilization, shares: Vec::new(), variance }
    }
}

impl Baseline {
    /// Updates the means with a gauge's utilization and the processor shares of the best-effort
    /// images at that time. Returns the deviation from the means before the update.
    pub fn update(&mut self, utilization: f64, shares: &[f64], now_ms: u64) -> Deviation {
        self.shares.resize(self.shares.len().max(shares.len()), 0.0);
        let before_ms = self.updated_ms.replace(now_ms).unwrap_or(now_ms);
        self.variance += OWN_LOAD_DRIFT * now_ms.saturating_sub(before_ms) as f64 / 1_000.0;
        let expected = self.variance + GAUGE_NOISE;
        let gain = self.variance / expected;
        self.variance *= 1.0 - gain;
        let deviation = utilization - self.utilization;
        self.utilization += gain * deviation;
        let share = |index: usize| shares.get(index).copied().unwrap_or(0.0);
        let means = self.shares.iter().enumerate();
        let share_deviations: Vec<f64> = means.map(|(index, mean)| share(index) - mean).collect();
        for (mean, deviation) in self.shares.iter_mut().zip(&share_deviations) {
            *mean += gain * deviation;
        }
        Deviation { utilization: deviation, shares: share_deviations, variance: expected }
    }

    /// Returns the utilization by the group's own users, given the slopes of the best-effort
    /// images. The estimate is higher the larger its uncertainty is.
    pub fn user_utilization(&self, slope: impl Fn(usize) -> f64) -> f64 {
        /// Number of standard deviations that are added to the estimate.
        const MARGIN_DEVIATIONS: f64 = 0.25;
        let shares = self.shares.iter().enumerate();
        let added: f64 = shares.map(|(index, share)| slope(index) * share).sum();
        (self.utilization - added).max(0.0) + MARGIN_DEVIATIONS * self.variance.sqrt()
    }
}
