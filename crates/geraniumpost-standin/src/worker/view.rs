use serde::{Deserialize, Serialize};

use super::{Resources, TaskState};

/// A task in the list of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// Id of the task.
    pub id: String,
    /// Number of the run.
    pub epoch: u64,
    /// State of the run.
    pub state: TaskState,
    /// Measured usage, with the delay of the worker's options.
    pub usage: Resources,
    /// Latest checkpoint, empty if none.
    pub checkpoint: String,
    /// Result, or reason of the end; empty while the task runs.
    pub result: String,
    /// Remaining time of the lease in milliseconds; 0 after the task has ended.
    pub lease_left_ms: u64,
}
