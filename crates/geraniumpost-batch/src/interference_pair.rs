use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// Learned interference of a best-effort image with a serving image.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InterferencePair {
    /// Image of the serving tasks that are slowed down.
    pub serving: Name,
    /// Image of the best-effort tasks that cause the slowdown.
    pub best_effort: Name,
    /// Utilization that the best-effort image adds to the serving image when using all processors
    /// of a minion.
    pub slope: f64,
    /// Standard deviation of the slope's estimate.
    pub deviation: f64,
}
