use serde::{Deserialize, Serialize};

/// What happened to a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerEventKind {
    /// It began to run.
    Started,
    /// Its progress was saved.
    Checkpointed,
    /// It was stopped on demand.
    Stopped,
    /// It finished.
    Done,
    /// It failed.
    Failed,
    /// Its lease ended before it did.
    Lapsed,
    /// Its start gave the VM more than it can hold.
    Overfilled,
}

impl WorkerEventKind {
    /// Tells whether a run ends with this event.
    pub const fn ends_run(self) -> bool {
        matches!(self, Self::Stopped | Self::Done | Self::Failed | Self::Lapsed)
    }
}

/// One line of the worker's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEvent {
    /// When it happened, see [`now_us`](crate::now_us).
    pub at_us: u64,
    /// Name of the worker.
    pub worker: String,
    /// The task.
    pub task: String,
    /// The run's epoch.
    pub epoch: u64,
    /// What happened.
    pub kind: WorkerEventKind,
    /// Work done so far, in microseconds at full speed.
    pub progress_us: u64,
    /// Name of the checkpoint that was resumed or made, or the result.
    pub detail: String,
}
