use geraniumpost_schema::{HeartbeatAck, Name, Resources, StartTask, TaskRef, Throttle};

use super::WorkerTask;
use crate::Millis;

/// An input of a [`VmLedger`](super::VmLedger).
///
/// A call to the worker ends in one of three ways: it succeeded, it was definitely refused, or the
/// response was lost and it may have taken effect.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerEvent {
    /// The heartbeat with this number is about to be sent.
    HeartbeatSent(u64),
    /// An entry acknowledged a heartbeat.
    Ack(HeartbeatAck),
    /// The planner orders the start of a task.
    Start(StartTask),
    /// The planner orders a checkpoint followed by a stop.
    Evict(TaskRef),
    /// The planner orders a stop without a checkpoint. A task that the ledger does not know must
    /// never start afterwards.
    Stop(TaskRef),
    /// The planner limits the processor time of a run.
    Throttle(Throttle),
    /// The planner committed the final report of a run.
    Settled(TaskRef),
    /// A planner announces its term and requests the inventory.
    Supersede(u64),
    /// The VM accepts no new tasks from now on.
    Drain,
    /// Resources that are reserved for the minion on the same VM.
    Reserve(Resources),
    /// The worker responded with its list of tasks.
    Listed {
        /// Time at which the list was requested. Tasks that started later may be missing from it.
        requested_at: Millis,
        /// All tasks of the worker, including ended tasks that were not deleted.
        tasks: Vec<WorkerTask>,
    },
    /// The worker confirmed that it started the task, now or by an earlier call.
    Started {
        /// Id of the job; with the epoch it identifies the task at the worker.
        job: Name,
        /// Number of the job's run, assigned by the planner.
        epoch: u64,
    },
    /// The worker refused this start call, which therefore never starts the task.
    StartRefused {
        /// Id of the job; with the epoch it identifies the task at the worker.
        job: Name,
        /// Number of the job's run, assigned by the planner.
        epoch: u64,
        /// Reason given by the worker.
        reason: String,
    },
    /// The response to a start was lost; the start may still take effect.
    StartUncertain {
        /// Id of the job; with the epoch it identifies the task at the worker.
        job: Name,
        /// Number of the job's run, assigned by the planner.
        epoch: u64,
    },
    /// The worker wrote a checkpoint.
    Checkpointed {
        /// Id of the job; with the epoch it identifies the task at the worker.
        job: Name,
        /// Number of the job's run, assigned by the planner.
        epoch: u64,
        /// Name from which the worker can resume the job.
        checkpoint: Name,
    },
    /// The worker could not write a checkpoint, or the response was lost.
    CheckpointFailed {
        /// Id of the job; with the epoch it identifies the task at the worker.
        job: Name,
        /// Number of the job's run, assigned by the planner.
        epoch: u64,
    },
    /// The worker stopped the task or does not know it. Not sent for a task that ended without
    /// being stopped.
    Stopped {
        /// Id of the job; with the epoch it identifies the task at the worker.
        job: Name,
        /// Number of the job's run, assigned by the planner.
        epoch: u64,
    },
    /// The worker renewed the lease of a task, or the response was lost. In both cases the lease
    /// may last for its full duration from now.
    Renewed {
        /// Id of the job; with the epoch it identifies the task at the worker.
        job: Name,
        /// Number of the job's run, assigned by the planner.
        epoch: u64,
    },
    /// Time has passed: renewals, retries, reports and expiries that are due are handled.
    Tick,
}
