use geraniumpost_schema::{Inventory, Name, TaskReport};

use crate::jobs::{JobSpec, LeaseHolder};

/// An input of a [`Planner`](super::Planner).
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerEvent {
    /// A customer submits a job.
    Submit {
        /// Submitted job.
        spec: JobSpec,
        /// Number that identifies the request in the response.
        request_id: u64,
    },
    /// A customer or operator cancels a job.
    Cancel {
        /// Id of the job.
        job: Name,
        /// Customer that requests it, empty for an operator, who may cancel any job.
        customer: Name,
        /// Number that identifies the request in the response.
        request_id: u64,
    },
    /// A link to an agent was established.
    LinkUp {
        /// Name of the agent.
        agent: Name,
        /// Incarnation of the agent.
        incarnation: u64,
    },
    /// The last link to an incarnation of an agent was closed.
    LinkDown {
        /// Name of the agent.
        agent: Name,
        /// Incarnation of the agent.
        incarnation: u64,
    },
    /// An agent announced that it accepts no new work and will shut down.
    Draining {
        /// Name of the agent.
        agent: Name,
    },
    /// An agent reported the state of a run.
    Report {
        /// Name of the agent.
        agent: Name,
        /// Report of one task.
        report: TaskReport,
    },
    /// An agent reported all of its runs.
    Inventory {
        /// Name of the agent.
        agent: Name,
        /// List of its tasks.
        inventory: Inventory,
    },
    /// A commit took effect.
    CommitDone {
        /// Index of the bucket.
        bucket: usize,
        /// New revision of the bucket.
        revision: u64,
    },
    /// A commit found a revision other than the expected one.
    CommitConflict {
        /// Index of the bucket.
        bucket: usize,
    },
    /// A commit failed or its response was lost; it may have taken effect.
    CommitUnknown {
        /// Index of the bucket.
        bucket: usize,
    },
    /// A bucket was read from the store.
    ReadDone {
        /// Index of the bucket.
        bucket: usize,
        /// Revision and value, `None` if the bucket is absent.
        found: Option<(u64, Vec<u8>)>,
    },
    /// A read of a bucket failed.
    ReadFailed {
        /// Index of the bucket.
        bucket: usize,
    },
    /// An earlier planner no longer grants agent leases, as its entry reported or proved by
    /// restarting.
    PredecessorStopped(LeaseHolder),
    /// Time has passed.
    Tick,
}
