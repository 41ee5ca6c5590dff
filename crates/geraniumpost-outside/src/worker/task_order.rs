use std::time::Duration;

use geraniumpost_schema::{Name, Resources};

/// What a worker is asked to run.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskOrder {
    /// Number of the run.
    pub epoch: u64,
    /// Time after which the worker ends the task unless the lease is renewed.
    pub lease: Duration,
    /// Declared resources.
    pub need: Resources,
    /// The command, as the worker understands it.
    pub command: String,
    /// Checkpoint to resume from, empty to start afresh.
    pub checkpoint: Name,
}
