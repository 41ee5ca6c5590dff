use geraniumpost_schema::{Name, Resources, TaskState};

/// An entry of the worker's list of tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerTask {
    /// Job that the task runs.
    pub job: Name,
    /// Epoch of the run.
    pub epoch: u64,
    /// State at the worker: `Running`, `Done`, `Failed`, `Stopped` or `Lapsed`.
    pub state: TaskState,
    /// Latest checkpoint, empty if there is none.
    pub checkpoint: Name,
    /// Result, or reason of a failure.
    pub result: String,
    /// Measured usage, which lags behind the actual one.
    pub usage: Resources,
}
