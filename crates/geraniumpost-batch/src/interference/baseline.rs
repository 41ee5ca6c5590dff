/// Variance of the error of a measured utilization.
const MEASUREMENT_VARIANCE: f64 = 0.000_9;
/// Growth of the variance of the estimated user load per second: the user load changes by half
/// within tens of seconds.
const USER_LOAD_VARIANCE_PER_S: f64 = 0.003;
/// Utilization by user load that is assumed before the first measurement.
const INITIAL_USER_UTILIZATION: f64 = 0.5;
/// Variance of [`INITIAL_USER_UTILIZATION`] around the true value.
const INITIAL_USER_UTILIZATION_VARIANCE: f64 = 0.06;

/// Running means of the measurements of serving tasks that have the same users, for estimating the
/// user load.
///
/// This is a one-dimensional Kalman filter for the user load. The measurements also contain the
/// effect of best-effort tasks, whose slopes are learned at the same time. The filter therefore
/// also keeps the mean processor shares of the best-effort images: for any slopes, the mean
/// utilization minus the mean shares times their slopes is the filter's estimate.
#[derive(Debug, Clone)]
pub struct Baseline {
    /// Time of the last measurement, on the monotonic clock; `None` before the first.
    updated_ms: Option<u64>,
    /// Mean utilization by users and best-effort tasks together.
    utilization: f64,
    /// Mean share of the minion's processors in use, by index of the best-effort image.
    shares: Vec<f64>,
    /// Variance of the estimated user load.
    variance: f64,
}

/// Deviation of a measured utilization and of the best-effort images' processor shares from their
/// running means.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Deviation {
    /// Measured utilization minus its running mean before the update, as a share of the time.
    pub utilization: f64,
    /// Deviation of the processor share, by index of the best-effort image.
    pub shares: Vec<f64>,
    /// Expected variance of the utilization's deviation due to user load and measurement errors.
    pub variance: f64,
}

impl Default for Baseline {
    fn default() -> Self {
        let (utilization, variance) = (INITIAL_USER_UTILIZATION, INITIAL_USER_UTILIZATION_VARIANCE);
        Self { updated_ms: None, utilization, shares: Vec::new(), variance }
    }
}

impl Baseline {
    /// Adds a measurement to the running means: the utilization, and the processor share of each
    /// best-effort image. Returns the deviation from the means before the update.
    pub fn update(&mut self, utilization: f64, shares: &[f64], now_ms: u64) -> Deviation {
        self.shares.resize(self.shares.len().max(shares.len()), 0.0);
        let before_ms = self.updated_ms.replace(now_ms).unwrap_or(now_ms);
        self.variance +=
            USER_LOAD_VARIANCE_PER_S * now_ms.saturating_sub(before_ms) as f64 / 1_000.0;
        let expected = self.variance + MEASUREMENT_VARIANCE;
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

    /// Returns the estimated utilization by user load, given the slopes of the best-effort images,
    /// plus a margin that grows with the uncertainty of the estimate.
    pub fn user_utilization(&self, slope: impl Fn(usize) -> f64) -> f64 {
        /// Number of standard deviations that are added to the estimate.
        const MARGIN_DEVIATIONS: f64 = 0.25;
        let shares = self.shares.iter().enumerate();
        let added: f64 = shares.map(|(index, share)| slope(index) * share).sum();
        (self.utilization - added).max(0.0) + MARGIN_DEVIATIONS * self.variance.sqrt()
    }
}
