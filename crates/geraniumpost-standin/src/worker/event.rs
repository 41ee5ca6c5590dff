use serde::{Deserialize, Serialize};

/// Kind of an event of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerEventKind {
    /// A run started.
    Started,
    /// The progress was saved.
    Checkpointed,
    /// The run was stopped by a call.
    Stopped,
    /// The run completed.
    Done,
    /// The run failed.
    Failed,
    /// The lease expired before the run ended.
    Lapsed,
    /// The start made the running tasks exceed the capacity of the VM.
    Overfilled,
}

impl WorkerEventKind {
    /// Returns whether a run ends with this event.
    pub const fn ends_run(self) -> bool {
        matches!(self, Self::Stopped | Self::Done | Self::Failed | Self::Lapsed)
    }
}

/// An event in the record of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEvent {
    /// Time of the event, see [`now_us`](crate::now_us).
    pub at_us: u64,
    /// Name of the worker.
    pub worker: String,
    /// Id of the task.
    pub task: String,
    /// Epoch of the run.
    pub epoch: u64,
    /// Kind of the event.
    pub kind: WorkerEventKind,
    /// Work done so far, in microseconds at full speed.
    pub progress_us: u64,
    /// Name of the checkpoint that was resumed or created, result of the run, or resources held.
    pub detail: String,
}
