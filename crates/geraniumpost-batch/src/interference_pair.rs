use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// Learned interference of a best-effort image with a serving image.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InterferencePair {
    /// The serving image.
    pub serving: Name,
    /// The best-effort image.
    pub best_effort: Name,
    /// Utilization that the best-effort image adds to the serving one if it uses all processors of
    /// a minion.
    pub slope: f64,
    /// Standard deviation of the slope.
    pub deviation: f64,
}
