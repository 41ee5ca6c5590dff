use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of a task on its worker.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task completed with a result.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped by a call.
    Stopped,
    /// The lease of the task expired.
    Lapsed,
}
