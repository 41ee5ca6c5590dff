use std::time::Duration;

use geraniumpost_schema::{Name, Resources, TaskState};

/// A task as its worker reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerTask {
    /// The task.
    pub id: Name,
    /// Number of the run.
    pub epoch: u64,
    /// Running, done, failed, stopped or lapsed.
    pub state: TaskState,
    /// Measured usage, which lags behind.
    pub usage: Resources,
    /// Latest checkpoint, empty if none.
    pub checkpoint: Name,
    /// Result or reason, empty while it runs.
    pub result: String,
    /// Time left of the lease, zero once it has ended.
    pub lease_left: Duration,
}
