use serde::{Deserialize, Serialize};

use super::{Resources, TaskState};

/// A task as the worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskView {
    /// The task.
    pub id: String,
    /// Its run.
    pub epoch: u64,
    /// Its state.
    pub state: TaskState,
    /// Usage as it was a while ago.
    pub usage: Resources,
    /// Latest checkpoint, empty if none.
    pub checkpoint: String,
    /// Result or reason, empty while it runs.
    pub result: String,
    /// Time left of its lease in milliseconds, 0 if it has ended.
    pub lease_left_ms: u64,
}
