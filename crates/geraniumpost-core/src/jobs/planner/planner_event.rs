use geraniumpost_schema::{Inventory, Name, TaskReport};

use crate::jobs::{JobSpec, LeaseHolder};

/// An input of a [`Planner`](super::Planner).
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerEvent {
    /// A customer submits a job.
    Submit {
        /// Job to be recorded; the planner validates it.
        spec: JobSpec,
        /// Number chosen by the shell, which identifies the request in the response.
        request_id: u64,
    },
    /// A customer or operator cancels a job.
    Cancel {
        /// Id under which the job was submitted.
        job: Name,
        /// Customer that requests the cancellation, empty for an operator, who may cancel any job.
        customer: Name,
        /// Number chosen by the shell, which identifies the request in the response.
        request_id: u64,
    },
    /// A link to an agent was established.
    LinkUp {
        /// Name of the agent, as in its heartbeats.
        agent: Name,
        /// Number that identifies the agent's process and changes when it restarts.
        incarnation: u64,
    },
    /// The last link to an incarnation of an agent was closed.
    LinkDown {
        /// Name of the agent, as in its heartbeats.
        agent: Name,
        /// Number that identifies the agent's process and changes when it restarts.
        incarnation: u64,
    },
    /// An agent announced that it accepts no new work and will shut down.
    Draining {
        /// Name of the agent, as in its heartbeats.
        agent: Name,
    },
    /// An agent reported the state of a run.
    Report {
        /// Name of the agent, as in its heartbeats.
        agent: Name,
        /// State, checkpoint, result and usage of the run.
        report: TaskReport,
    },
    /// An agent sent its inventory, in response to the planner's request.
    Inventory {
        /// Name of the agent, as in its heartbeats.
        agent: Name,
        /// All tasks of the agent, under the term that requested them.
        inventory: Inventory,
    },
    /// A commit took effect.
    CommitDone {
        /// Index of the bucket, below [`BUCKETS`](crate::jobs::BUCKETS).
        bucket: usize,
        /// Revision that the commit created.
        revision: u64,
    },
    /// A commit found a revision other than the expected revision.
    CommitConflict {
        /// Index of the bucket, below [`BUCKETS`](crate::jobs::BUCKETS).
        bucket: usize,
    },
    /// A commit failed or its response was lost; it may have taken effect.
    CommitUnknown {
        /// Index of the bucket, below [`BUCKETS`](crate::jobs::BUCKETS).
        bucket: usize,
    },
    /// A read of a bucket succeeded, or found that the bucket is absent.
    ReadDone {
        /// Index of the bucket, below [`BUCKETS`](crate::jobs::BUCKETS).
        bucket: usize,
        /// Revision and value, `None` if the bucket is absent.
        found: Option<(u64, Vec<u8>)>,
    },
    /// A read failed or timed out, and is repeated later.
    ReadFailed {
        /// Index of the bucket, below [`BUCKETS`](crate::jobs::BUCKETS).
        bucket: usize,
    },
    /// An earlier planner no longer grants agent leases: its entry reported this, or has restarted.
    PredecessorStopped(LeaseHolder),
    /// Time has passed: reads, commits, orders and expiries that are due are handled.
    Tick,
}
