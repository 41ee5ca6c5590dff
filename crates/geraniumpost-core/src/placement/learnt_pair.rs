use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// How much a batch class slows a service, as one process learnt it and another may take it over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LearntPair {
    /// The service.
    pub service: Name,
    /// The class that runs beside it.
    pub class: Name,
    /// What the class adds, in targets for each processor unit.
    pub slope: f64,
    /// Evidence for the slope, as [`HarmModel`](super::HarmModel) weighs it.
    pub evidence: f64,
}
