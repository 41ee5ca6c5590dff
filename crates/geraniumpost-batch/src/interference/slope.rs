/// How much one filling image adds to the utilization of a serving one if it used all of a minion's
/// processors.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slope {
    /// The best estimate.
    pub mean: f64,
    /// How far it may be off, as one standard deviation.
    pub deviation: f64,
}

impl Slope {
    /// A pair that nothing is known of: some hardly disturb, some disturb hard, and nothing tells
    /// which.
    pub const UNKNOWN: Self = Self { mean: 0.8, deviation: 0.6 };
}
