use serde::{Deserialize, Serialize};

use super::Resources;

/// Body of a task's start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Run of the task; a higher one replaces an ended lower one.
    pub epoch: u64,
    /// Time after which the task ends by itself unless renewed, in milliseconds.
    pub lease_ms: u64,
    /// Declared resources.
    #[serde(flatten)]
    pub need: Resources,
    /// What to run, see [`Command`](super::Command).
    pub command: String,
    /// Checkpoint to resume from; empty to start afresh.
    #[serde(default)]
    pub checkpoint: String,
}
