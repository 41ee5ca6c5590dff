use derive_more::Display;
use geraniumpost_schema::Name;

/// A worker that was considered for a job, with its score.
#[derive(Debug, Display, Clone, PartialEq)]
#[display("{worker}={score:.4}")]
pub struct Candidate {
    /// Name of the worker.
    pub worker: Name,
    /// Increase in the predicted latency cost plus tie-breakers; lower is better.
    pub score: f64,
}
