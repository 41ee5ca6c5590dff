use serde::{Deserialize, Serialize};

use super::Resources;

/// Body of a request to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Number of the run; another number starts a new run if the earlier one has ended.
    pub epoch: u64,
    /// Time after which the worker ends the task unless the lease is renewed, in milliseconds.
    pub lease_ms: u64,
    /// Declared resources.
    #[serde(flatten)]
    pub need: Resources,
    /// Command of the task, see [`Command`](super::Command).
    pub command: String,
    /// Checkpoint to resume from; empty to start from the beginning.
    #[serde(default)]
    pub checkpoint: String,
}
