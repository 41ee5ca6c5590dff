/// A line fitted to measured points by least squares, with its goodness of fit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Growth per unit.
    pub slope: f64,
    /// Value at zero.
    pub base: f64,
    /// Standard error of the slope; infinite with two points or fewer, which leave no residuals.
    pub error: f64,
    /// Share of the variance that the line explains.
    pub r2: f64,
}

impl Fit {
    /// Fits a line to points, whose first coordinates must not all be equal.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let sxx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sxy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let syy: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let slope = sxy / sxx;
        let base = mean_y - slope * mean_x;
        let residuals: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
        let error =
            if points.len() > 2 { (residuals / (n - 2.0) / sxx).sqrt() } else { f64::INFINITY };
        let r2 = if syy > 0.0 { 1.0 - residuals / syy } else { 1.0 };
        Self { slope, base, error, r2 }
    }

    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }

    /// Renders a row of a table: slope, standard error, value at zero, R2 and the value at `x`.
    pub fn row(&self, what: &str, x: f64) -> String {
        let Self { slope, base, error, r2 } = self;
        format!("| {what} | {slope:.4} | {error:.4} | {base:.3} | {r2:.3} | {:.3} |", self.at(x))
    }
}
