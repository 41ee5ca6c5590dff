use geraniumpost_schema::{HeartbeatAck, Name, Resources, StartTask, TaskRef, Throttle};

use super::WorkerTask;
use crate::Millis;

/// What a [`VmLedger`](super::VmLedger) is told.
///
/// Calls to the worker end in one of three ways: it did as asked, it refused for certain, or the
/// answer was lost and the call may have taken effect.
#[derive(Debug, Clone, PartialEq)]
pub enum LedgerEvent {
    /// The heartbeat with this number is about to be sent.
    HeartbeatSent(u64),
    /// An entry answered a heartbeat.
    Ack(HeartbeatAck),
    /// The planner orders a start.
    Start(StartTask),
    /// The planner orders a checkpoint and stop.
    Evict(TaskRef),
    /// The planner orders a stop for good.
    Stop(TaskRef),
    /// The planner slows a run.
    Throttle(Throttle),
    /// The planner has committed a final report.
    Settled(TaskRef),
    /// A planner announces its term and wants the inventory.
    Supersede(u64),
    /// The VM takes no new work from now on.
    Drain,
    /// The service beside the agent needs this much kept free.
    Reserve(Resources),
    /// The worker's answer to a list asked for at `asked`.
    Listed {
        /// When the agent asked.
        asked: Millis,
        /// All tasks the worker knows.
        tasks: Vec<WorkerTask>,
    },
    /// The worker runs the task, or already did.
    Started {
        /// Job.
        job: Name,
        /// Run.
        epoch: u64,
    },
    /// The worker refused the start, which truly did not run.
    StartRefused {
        /// Job.
        job: Name,
        /// Run.
        epoch: u64,
        /// The worker's reason.
        reason: String,
    },
    /// The answer to a start was lost; it may still take effect.
    StartUncertain {
        /// Job.
        job: Name,
        /// Run.
        epoch: u64,
    },
    /// The worker wrote a checkpoint.
    Checkpointed {
        /// Job.
        job: Name,
        /// Run.
        epoch: u64,
        /// The checkpoint's name.
        checkpoint: Name,
    },
    /// The worker could not write a checkpoint, or the answer was lost.
    CheckpointFailed {
        /// Job.
        job: Name,
        /// Run.
        epoch: u64,
    },
    /// The worker knows no such task, or has ended it; not for one that ended by itself.
    Stopped {
        /// Job.
        job: Name,
        /// Run.
        epoch: u64,
    },
    /// The worker extended the lease of a task, or the answer to that was lost. Either way the
    /// lease may now last until one lease from here.
    Renewed {
        /// Job.
        job: Name,
        /// Run.
        epoch: u64,
    },
    /// Time passed.
    Tick,
}
