use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Where a job stands in the store.
///
/// Whether a run has started, or is being evicted, is no state of its own: the agent's inventory
/// tells it again to any new planner, so that recording it would only cost writes.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum JobState {
    /// Waits for a worker; the record's epoch numbers its next run.
    #[serde(rename = "p")]
    Pending,
    /// Given to a worker, where it may be running.
    #[serde(rename = "a")]
    Assigned,
    /// Cancelled while assigned; the word that its run ended is awaited.
    #[serde(rename = "w")]
    Cancelling,
    /// Completed; the one result is recorded.
    #[serde(rename = "d")]
    Done,
    /// Given up; the reason is recorded.
    #[serde(rename = "f")]
    Failed,
    /// Cancelled; no result is taken any more.
    #[serde(rename = "c")]
    Cancelled,
}

impl JobState {
    /// All states, in the order of a job's life.
    pub const ALL: [Self; 6] = [
        Self::Pending,
        Self::Assigned,
        Self::Cancelling,
        Self::Done,
        Self::Failed,
        Self::Cancelled,
    ];

    /// Returns whether nothing can happen to the job any more.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }

    /// Returns whether a worker may be running the job.
    pub const fn is_placed(self) -> bool {
        matches!(self, Self::Assigned | Self::Cancelling)
    }
}
