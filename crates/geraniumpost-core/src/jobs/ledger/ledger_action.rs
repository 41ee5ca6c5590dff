use geraniumpost_schema::{Inventory, Name, StartTask, TaskReport};

/// An action that a [`VmLedger`](super::VmLedger) requests from the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerAction {
    /// Start the task at the worker, which must treat a repeated job and epoch as the same task.
    /// The shell checks [`VmLedger::may_run`](super::VmLedger::may_run) again immediately before
    /// the call, in case the process was paused in between.
    Start(StartTask),
    /// Have the worker write a checkpoint, from which the job's next run can resume.
    Checkpoint {
        /// Id of the job; with the epoch it identifies the task at the worker.
        job: Name,
        /// Number of the job's run, assigned by the planner.
        epoch: u64,
    },
    /// Have the worker stop the task without a further checkpoint.
    Stop {
        /// Id of the job; with the epoch it identifies the task at the worker.
        job: Name,
        /// Number of the job's run, assigned by the planner.
        epoch: u64,
    },
    /// Limit the processor time of the task.
    Throttle {
        /// Id of the job; with the epoch it identifies the task at the worker.
        job: Name,
        /// Number of the job's run, assigned by the planner.
        epoch: u64,
        /// Permitted share of its processors in thousandths.
        permille: u32,
    },
    /// Renew the task's lease at the worker; `may_run` is checked as for a start.
    Renew {
        /// Id of the job; with the epoch it identifies the task at the worker.
        job: Name,
        /// Number of the job's run, assigned by the planner.
        epoch: u64,
    },
    /// Have the worker delete an ended task whose result is no longer needed.
    Forget {
        /// Id of the job; with the epoch it identifies the task at the worker.
        job: Name,
        /// Number of the job's run, assigned by the planner.
        epoch: u64,
    },
    /// Request the worker's list of tasks, including ended tasks.
    List,
    /// Report one task to the planner.
    Report(TaskReport),
    /// Report all tasks to the planner.
    Inventory(Inventory),
}
