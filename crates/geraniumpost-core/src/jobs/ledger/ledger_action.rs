use geraniumpost_schema::{Inventory, Name, StartTask, TaskReport};

/// What a [`VmLedger`](super::VmLedger) asks the shell to do.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerAction {
    /// Start the task at the worker. The worker must treat a repeat of job and epoch as the same
    /// task. The shell asks [`VmLedger::may_run`](super::VmLedger::may_run) again just before it
    /// writes the call, in case the process was paused in between.
    Start(StartTask),
    /// Write a checkpoint.
    Checkpoint {
        /// Job.
        job: Name,
        /// Run.
        epoch: u64,
    },
    /// End the task.
    Stop {
        /// Job.
        job: Name,
        /// Run.
        epoch: u64,
    },
    /// Limit the task's processors.
    Throttle {
        /// Job.
        job: Name,
        /// Run.
        epoch: u64,
        /// Share of its processors in thousandths.
        permille: u32,
    },
    /// Extend the task's lease at the worker; subject to `may_run` like a start.
    Renew {
        /// Job.
        job: Name,
        /// Run.
        epoch: u64,
    },
    /// Let the worker forget a finished task.
    Forget {
        /// Job.
        job: Name,
        /// Run.
        epoch: u64,
    },
    /// List the worker's tasks.
    List,
    /// Tell the planner of one task.
    Report(TaskReport),
    /// Tell the planner of all tasks.
    Inventory(Inventory),
}
