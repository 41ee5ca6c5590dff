use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of a job as recorded in the store.
///
/// Whether a run has started or is being evicted is not recorded. The agent's inventory reports it
/// to every new planner, so recording it would only cost writes.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum JobState {
    /// The job waits for a worker; the record's epoch numbers its next run.
    #[serde(rename = "p")]
    Pending,
    /// The job is assigned to a worker and may be running there.
    #[serde(rename = "a")]
    Assigned,
    /// The job was cancelled while assigned; the agent has not yet reported the end of its run.
    #[serde(rename = "w")]
    Cancelling,
    /// The job completed and its only result is recorded.
    #[serde(rename = "d")]
    Done,
    /// The job failed permanently and the reason is recorded.
    #[serde(rename = "f")]
    Failed,
    /// The job is cancelled; later results are discarded.
    #[serde(rename = "c")]
    Cancelled,
}

impl JobState {
    /// All states, in the order of the job lifecycle.
    pub const ALL: [Self; 6] = [
        Self::Pending,
        Self::Assigned,
        Self::Cancelling,
        Self::Done,
        Self::Failed,
        Self::Cancelled,
    ];

    /// Returns whether the state never changes again.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }

    /// Returns whether a worker may be running the job.
    pub const fn is_placed(self) -> bool {
        matches!(self, Self::Assigned | Self::Cancelling)
    }
}
