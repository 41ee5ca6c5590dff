/// A straight line through measured points by least squares, with its scatter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Growth of the figure with each unit.
    pub slope: f64,
    /// Figure at zero.
    pub base: f64,
    /// Standard error of the slope; infinite with two points or fewer, which show no scatter.
    pub error: f64,
    /// Share of the variance that the line explains.
    pub r2: f64,
}

impl Fit {
    /// Fits a line through points; their first coordinates must not all be equal.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let sxx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sxy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let syy: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let slope = sxy / sxx;
        let base = mean_y - slope * mean_x;
        let left: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
        let error = if points.len() > 2 { (left / (n - 2.0) / sxx).sqrt() } else { f64::INFINITY };
        let r2 = if syy > 0.0 { 1.0 - left / syy } else { 1.0 };
        Self { slope, base, error, r2 }
    }

    /// Returns the figure that the line gives at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }

    /// Returns one row of a table: the slope, its error, the base, R2 and the figure at `x`.
    pub fn row(&self, what: &str, x: f64) -> String {
        let Self { slope, base, error, r2 } = self;
        format!("| {what} | {slope:.4} | {error:.4} | {base:.3} | {r2:.3} | {:.3} |", self.at(x))
    }
}
