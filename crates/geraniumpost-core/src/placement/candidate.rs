use derive_more::Display;
use geraniumpost_schema::Name;

/// A worker that was weighed for a job, with its score; lower is better.
#[derive(Debug, Display, Clone, PartialEq)]
#[display("{worker}={score:.4}")]
pub struct Candidate {
    /// The worker.
    pub worker: Name,
    /// Predicted harm plus tie-breakers.
    pub score: f64,
}
