use derive_more::Display;
use geraniumpost_schema::Name;

/// A worker with capacity for a job, as listed in the reason of a start.
#[derive(Debug, Display, Clone, PartialEq)]
#[display("{worker}={score:.4}")]
pub struct Candidate {
    /// Name of the worker.
    pub worker: Name,
    /// Increase in the predicted latency cost plus small terms for packing and spreading; the
    /// lowest score is the best.
    pub score: f64,
}
