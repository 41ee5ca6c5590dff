use geraniumpost_schema::{Name, Resources, TaskState};

/// An entry of the worker's list of tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerTask {
    /// Id of the job; with the epoch it identifies the task.
    pub job: Name,
    /// Number of the job's run, assigned by the planner.
    pub epoch: u64,
    /// State at the worker: `Running`, `Done`, `Failed`, `Stopped` or `Lapsed`.
    pub state: TaskState,
    /// Latest checkpoint, empty if there is none.
    pub checkpoint: Name,
    /// Result of a completed task or reason of a failed task, otherwise empty.
    pub result: String,
    /// Measured usage, which lags behind the actual usage.
    pub usage: Resources,
}
