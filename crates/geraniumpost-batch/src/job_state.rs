use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of a job as callers see it.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; no task has started.
    #[display("queued")]
    Queued,
    /// At least one task has started.
    #[display("running")]
    Running,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task or gang failed as often as the queue allows.
    #[display("failed")]
    Failed,
    /// Cancelled by its submitter.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// Returns whether the job has finished and never runs again.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
