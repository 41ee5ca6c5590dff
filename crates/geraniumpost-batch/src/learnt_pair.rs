use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// How much a filling image slows a serving one, as one coordinator learnt it and the next takes it over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InterferencePair {
    /// The image that serves.
    pub serving: Name,
    /// The image that fills beside it.
    pub best_effort: Name,
    /// Utilization that the filling image adds if it uses all of a minion's processors.
    pub slope: f64,
    /// How far the slope may be off, as one standard deviation.
    pub deviation: f64,
}
