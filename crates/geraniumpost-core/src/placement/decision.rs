use derive_more::Display;
use geraniumpost_schema::{Name, Resources};

use super::{Reason, Resource};

/// An action for the planner to carry out. Its `Display` form is the log line of the decision.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum Decision {
    /// Start a job on a worker.
    #[display("start job={job} worker={worker} score={score:.4} why={reason}")]
    Start {
        /// Id of the job.
        job: Name,
        /// The worker that runs it.
        worker: Name,
        /// Resources to reserve: the declared need, or more if similar jobs were measured to use
        /// more.
        need: Resources,
        /// Increase in the predicted latency cost plus tie-breakers; lower is better.
        score: f64,
        /// Why this worker was chosen.
        reason: Reason,
    },
    /// Checkpoint and stop a task. Its resources are free once the agent reports its end.
    #[display("evict job={job} worker={worker} for={for_job} why={reason}")]
    Evict {
        /// Id of the job to evict.
        job: Name,
        /// The worker that runs it.
        worker: Name,
        /// The job that needs the resources, empty if the eviction protects the worker's service.
        for_job: Name,
        /// Why this task was chosen.
        reason: Reason,
    },
    /// Set the share of its processors that a task may use.
    #[display("throttle job={job} worker={worker} permille={permille} why={reason}")]
    Throttle {
        /// Id of the job.
        job: Name,
        /// The worker that runs it.
        worker: Name,
        /// Share in thousandths; 1000 lifts the throttle.
        permille: u32,
        /// Why the speed changes.
        reason: Reason,
    },
    /// Keep a job waiting.
    #[display("wait job={job} why={reason}")]
    Wait {
        /// Id of the job.
        job: Name,
        /// What the job waits for.
        reason: Reason,
    },
    /// Refuse a job that cannot run on any worker, however long it waits.
    #[display("impossible job={job} resource={resource} largest={largest} why={reason}")]
    Impossible {
        /// Id of the job.
        job: Name,
        /// The resource of which the job needs too much.
        resource: Resource,
        /// The worker that offers most of that resource, empty if the quota forbids the job.
        largest: Name,
        /// How much the job needs and how much is offered.
        reason: Reason,
    },
    /// Fail a job that failed on several healthy workers.
    #[display("give up job={job} why={reason}")]
    GiveUp {
        /// Id of the job.
        job: Name,
        /// How often the job failed, and where.
        reason: Reason,
    },
    /// Give a worker no new jobs, as it failed several different jobs.
    #[display("quarantine worker={worker} why={reason}")]
    Quarantine {
        /// Name of the worker.
        worker: Name,
        /// How many jobs failed, and how long the quarantine lasts.
        reason: Reason,
    },
    /// Give a worker jobs again, one at a time while it is probed.
    #[display("release worker={worker} why={reason}")]
    Release {
        /// Name of the worker.
        worker: Name,
        /// Whether the worker is probed or trusted again.
        reason: Reason,
    },
}

impl Decision {
    /// Returns the job that the decision concerns, or none if it concerns a worker.
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
