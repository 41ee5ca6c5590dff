use std::time::Duration;

use geraniumpost_schema::{Name, Resources};

/// Order to a worker to start one run of a task.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskOrder {
    /// Number of the run.
    pub epoch: u64,
    /// Time after which the worker stops the task, unless the lease is renewed.
    pub lease: Duration,
    /// Declared resources.
    pub need: Resources,
    /// Command, in the syntax of the worker.
    pub command: String,
    /// Checkpoint to resume from, empty to start from the beginning.
    pub checkpoint: Name,
}
