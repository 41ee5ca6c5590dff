use geraniumpost_schema::{Name, Resources, TaskState};

/// One task in a worker's list.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerTask {
    /// Job that the task runs.
    pub job: Name,
    /// Number of the run.
    pub epoch: u64,
    /// State at the worker: `Running`, `Done`, `Failed`, `Stopped` or `Lapsed`.
    pub state: TaskState,
    /// Latest checkpoint, empty if none.
    pub checkpoint: Name,
    /// Result or reason.
    pub result: String,
    /// Lagged measured usage.
    pub usage: Resources,
}
