use geraniumpost_schema::{Inventory, Name, TaskReport};

use crate::jobs::{JobSpec, LeaseHolder};

/// What a [`Planner`](super::Planner) is told.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerEvent {
    /// A customer submits a job.
    Submit {
        /// The job.
        spec: JobSpec,
        /// Names the submitter in the answer.
        reply: u64,
    },
    /// A customer or operator cancels a job.
    Cancel {
        /// The job's id.
        job: Name,
        /// The customer, empty for an operator, who may cancel any job.
        customer: Name,
        /// Names the canceller in the answer.
        reply: u64,
    },
    /// A link to an agent is up.
    LinkUp {
        /// The agent.
        agent: Name,
        /// Its incarnation.
        incarnation: u64,
    },
    /// The last link to an agent's incarnation is gone.
    LinkDown {
        /// The agent.
        agent: Name,
        /// Its incarnation.
        incarnation: u64,
    },
    /// An agent announced that it leaves.
    Draining {
        /// The agent.
        agent: Name,
    },
    /// An agent reports a run.
    Report {
        /// The agent.
        agent: Name,
        /// The report.
        report: TaskReport,
    },
    /// An agent lists all runs.
    Inventory {
        /// The agent.
        agent: Name,
        /// The list.
        inventory: Inventory,
    },
    /// A commit took effect.
    CommitDone {
        /// The bucket.
        bucket: usize,
        /// Its new revision.
        revision: u64,
    },
    /// A commit found another revision than it expected.
    CommitConflict {
        /// The bucket.
        bucket: usize,
    },
    /// A commit failed or its answer was lost; it may have taken effect.
    CommitUnknown {
        /// The bucket.
        bucket: usize,
    },
    /// The store's value of a bucket.
    ReadDone {
        /// The bucket.
        bucket: usize,
        /// Revision and value, if there is one.
        found: Option<(u64, Vec<u8>)>,
    },
    /// A read failed.
    ReadFailed {
        /// The bucket.
        bucket: usize,
    },
    /// An earlier holder is known not to grant holds any more: its entry said so, or restarted.
    PredecessorStopped(LeaseHolder),
    /// Time passed.
    Tick,
}
