use super::Slope;
use super::baseline::Deviation;

/// Growth of the variance of a slope with each measurement in which the image's processor share
/// deviates from its mean, because the behaviour of an image's tasks changes over time.
const SLOPE_VARIANCE_PER_MEASUREMENT: f64 = 0.000_07;
/// Residual, in standard deviations, above which a measurement gets less weight.
const OUTLIER_THRESHOLD_DEVIATIONS: f64 = 3.0;
/// Minimum variance of a restored slope; with it, the observations of this process soon outweigh
/// the restored value.
const MIN_RESTORED_VARIANCE: f64 = 0.002_5;

/// The slopes of all best-effort images for one serving image: a linear regression that is updated
/// with each measurement (a Kalman filter whose state hardly changes).
#[derive(Debug, Clone, Default)]
pub struct Slopes {
    /// Estimated slopes, by index of the best-effort image.
    means: Vec<f64>,
    /// Covariance matrix of the slopes, by index of the best-effort image.
    covariances: Vec<Vec<f64>>,
}

impl Slopes {
    /// Returns the slope of the best-effort image with this index, or [`Slope::UNKNOWN`] if the
    /// image has no slope yet.
    pub fn get(&self, index: usize) -> Slope {
        match self.means.get(index) {
            Some(mean) => {
                Slope { mean: *mean, deviation: self.covariances[index][index].max(0.0).sqrt() }
            }
            None => Slope::UNKNOWN,
        }
    }

    /// Sets a slope that another process has learned.
    pub fn restore(&mut self, index: usize, slope: Slope) {
        self.grow(index + 1);
        self.means[index] = slope.mean;
        self.covariances[index][index] = slope.deviation.powi(2).max(MIN_RESTORED_VARIANCE);
    }

    /// Returns the difference between the measured deviation of the utilization and the deviation
    /// that the slopes predict.
    pub fn residual(&self, deviation: &Deviation) -> f64 {
        let expected =
            deviation.shares.iter().enumerate().map(|(index, share)| self.get(index).mean * share);
        deviation.utilization - expected.sum::<f64>()
    }

    /// Learns from the deviations of a measured utilization and of the processor shares from their
    /// running means.
    pub fn observe(&mut self, deviation: &Deviation) {
        let share_deviations = &deviation.shares;
        if share_deviations.iter().all(|share| *share == 0.0) {
            return;
        }
        self.grow(share_deviations.len());
        for (index, share) in share_deviations.iter().enumerate() {
            if *share != 0.0 {
                self.covariances[index][index] += SLOPE_VARIANCE_PER_MEASUREMENT;
            }
        }
        let gains: Vec<f64> =
            self.covariances.iter().map(|row| dot(row, share_deviations)).collect();
        let residual = self.residual(deviation);
        let expected = dot(&gains, share_deviations) + deviation.variance;
        let variance = expected.max((residual / OUTLIER_THRESHOLD_DEVIATIONS).powi(2));
        for (mean, gain) in self.means.iter_mut().zip(&gains) {
            *mean = (*mean + gain * residual / variance).max(0.0);
        }
        for (row, gain) in self.covariances.iter_mut().zip(&gains) {
            for (covariance, other) in row.iter_mut().zip(&gains) {
                *covariance -= gain * other / variance;
            }
        }
    }

    /// Extends the means and covariances to at least `len` images.
    fn grow(&mut self, len: usize) {
        let before = self.means.len();
        if len <= before {
            return;
        }
        self.means.resize(len, Slope::UNKNOWN.mean);
        self.covariances.resize(len, Vec::new());
        for (index, row) in self.covariances.iter_mut().enumerate() {
            row.resize(len, 0.0);
            if index >= before {
                row[index] = Slope::UNKNOWN.deviation.powi(2);
            }
        }
    }
}

/// Returns the dot product of a row and inputs; missing inputs count as 0.
fn dot(row: &[f64], inputs: &[f64]) -> f64 {
    row.iter().zip(inputs).map(|(a, b)| a * b).sum()
}
