use std::time::Duration;

use geraniumpost_schema::{Name, Resources, TaskState};

/// A task as listed by its worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerTask {
    /// Id of the task.
    pub id: Name,
    /// Number of the run.
    pub epoch: u64,
    /// State of the run.
    pub state: TaskState,
    /// Measured usage; the measurement lags behind.
    pub usage: Resources,
    /// Latest checkpoint, empty if none.
    pub checkpoint: Name,
    /// Result, or reason of the failure; empty while the task runs.
    pub result: String,
    /// Remaining time of the lease; zero after the task has ended.
    pub lease_left: Duration,
}
