use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of a task on its worker.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It finished with a result.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ended.
    Lapsed,
}
