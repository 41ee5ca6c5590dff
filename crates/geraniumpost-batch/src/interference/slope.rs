/// The utilization that a best-effort image adds to a serving image when using all processors of a
/// minion.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slope {
    /// Best estimate of the slope.
    pub mean: f64,
    /// Standard deviation of the estimate.
    pub deviation: f64,
}

impl Slope {
    /// Estimate for a pair without observations. Some pairs hardly interfere and others strongly,
    /// and they cannot be distinguished beforehand.
    pub const UNKNOWN: Self = Self { mean: 0.8, deviation: 0.6 };
}
