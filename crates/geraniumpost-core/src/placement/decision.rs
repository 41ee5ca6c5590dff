use derive_more::Display;
use geraniumpost_schema::{Name, Resources};

use super::{Reason, Resource};

/// What the planner should do; its text is the log line of the decision.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum Decision {
    /// Start a job on a worker.
    #[display("start job={job} worker={worker} score={score:.4} why={reason}")]
    Start {
        /// The job.
        job: Name,
        /// Where it runs.
        worker: Name,
        /// What to reserve: the declared need or more, if its like were seen to use more.
        need: Resources,
        /// Predicted harm plus tie-breakers; lower is better.
        score: f64,
        /// Why there.
        reason: Reason,
    },
    /// Checkpoint and stop a task; its room is free only after the agent's word.
    #[display("evict job={job} worker={worker} for={for_job} why={reason}")]
    Evict {
        /// The job that yields.
        job: Name,
        /// Where it runs.
        worker: Name,
        /// The job it yields to, empty if it yields to the worker's service.
        for_job: Name,
        /// Why this one.
        reason: Reason,
    },
    /// Set the share of its processors that a task may use.
    #[display("throttle job={job} worker={worker} permille={permille} why={reason}")]
    Throttle {
        /// The job.
        job: Name,
        /// Where it runs.
        worker: Name,
        /// Share in thousandths; 1000 lifts the throttle.
        permille: u32,
        /// Why.
        reason: Reason,
    },
    /// Keep a job waiting.
    #[display("wait job={job} why={reason}")]
    Wait {
        /// The job.
        job: Name,
        /// Why.
        reason: Reason,
    },
    /// Refuse a job that cannot run on any worker, however long it waits.
    #[display("impossible job={job} resource={resource} largest={largest} why={reason}")]
    Impossible {
        /// The job.
        job: Name,
        /// The resource that it has too much of.
        resource: Resource,
        /// The worker that offers most of that resource, empty if the quota forbids the job.
        largest: Name,
        /// By how much.
        reason: Reason,
    },
    /// Fail a job that failed on several sound workers.
    #[display("give up job={job} why={reason}")]
    GiveUp {
        /// The job.
        job: Name,
        /// Why.
        reason: Reason,
    },
    /// Give a worker no work but probes, as it failed several different jobs.
    #[display("quarantine worker={worker} why={reason}")]
    Quarantine {
        /// The worker.
        worker: Name,
        /// Why.
        reason: Reason,
    },
    /// Give a worker work again.
    #[display("release worker={worker} why={reason}")]
    Release {
        /// The worker.
        worker: Name,
        /// Why.
        reason: Reason,
    },
}

impl Decision {
    /// Returns the job that the decision is about, if it is about one.
    pub const fn job(&self) -> Option<&Name> {
        match self {
            Self::Start { job, .. }
            | Self::Evict { job, .. }
            | Self::Throttle { job, .. }
            | Self::Wait { job, .. }
            | Self::Impossible { job, .. }
            | Self::GiveUp { job, .. } => Some(job),
            Self::Quarantine { .. } | Self::Release { .. } => None,
        }
    }
}
