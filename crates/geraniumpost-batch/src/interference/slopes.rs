use super::Slope;
use super::baseline::Offset;

/// By how much the variance of a slope grows with each gauge beside which its image worked, as what tasks of
/// an image do changes.
const DRIFT: f64 = 0.000_07;
/// Distance from what was expected, in standard deviations, from which on a gauge counts less.
const OUTLIER: f64 = 3.0;
/// Least variance that is taken over from another process: what is measured here soon outweighs it.
const LEAST_RECALLED: f64 = 0.002_5;

/// The slopes of all filling images for one serving image: a linear regression that is updated gauge by
/// gauge (a Kalman filter whose state hardly moves).
#[derive(Debug, Clone, Default)]
pub struct Slopes {
    means: Vec<f64>,
    /// Covariances, a row for each filling image.
    covariances: Vec<Vec<f64>>,
}

impl Slopes {
    /// Returns the slope of a filling image by its number.
    pub fn get(&self, at: usize) -> Slope {
        match self.means.get(at) {
            Some(mean) => {
                Slope { mean: *mean, deviation: self.covariances[at][at].max(0.0).sqrt() }
            }
            None => Slope::UNKNOWN,
        }
    }

    /// Takes over a slope from another process.
    pub fn recall(&mut self, at: usize, slope: Slope) {
        self.grow(at + 1);
        self.means[at] = slope.mean;
        self.covariances[at][at] = slope.deviation.powi(2).max(LEAST_RECALLED);
    }

    /// Returns how far a gauge lay off what the slopes let expect.
    pub fn surprise(&self, off: &Offset) -> f64 {
        let expected = off.shares.iter().enumerate().map(|(at, share)| self.get(at).mean * share);
        off.utilization - expected.sum::<f64>()
    }

    /// Learns from how far a gauge, and what filled then, lay off their running means.
    pub fn observe(&mut self, off: &Offset) {
        let shares_off = &off.shares;
        if shares_off.iter().all(|share| *share == 0.0) {
            return;
        }
        self.grow(shares_off.len());
        for (at, share) in shares_off.iter().enumerate() {
            if *share != 0.0 {
                self.covariances[at][at] += DRIFT;
            }
        }
        let gains: Vec<f64> = self.covariances.iter().map(|row| dot(row, shares_off)).collect();
        let surprise = self.surprise(off);
        let expected = dot(&gains, shares_off) + off.variance;
        let variance = expected.max((surprise / OUTLIER).powi(2));
        for (mean, gain) in self.means.iter_mut().zip(&gains) {
            *mean = (*mean + gain * surprise / variance).max(0.0);
        }
        for (row, gain) in self.covariances.iter_mut().zip(&gains) {
            for (covariance, other) in row.iter_mut().zip(&gains) {
                *covariance -= gain * other / variance;
            }
        }
    }

    fn grow(&mut self, len: usize) {
        let before = self.means.len();
        if len <= before {
            return;
        }
        self.means.resize(len, Slope::UNKNOWN.mean);
        self.covariances.resize(len, Vec::new());
        for (at, row) in self.covariances.iter_mut().enumerate() {
            row.resize(len, 0.0);
            if at >= before {
                row[at] = Slope::UNKNOWN.deviation.powi(2);
            }
        }
    }
}

/// Returns the product of a row and inputs; inputs that are missing count as 0.
fn dot(row: &[f64], inputs: &[f64]) -> f64 {
    row.iter().zip(inputs).map(|(a, b)| a * b).sum()
}
