use derive_more::Display;
use geraniumpost_schema::{Name, Resources};

use super::{Reason, Resource};

/// A decision of [`Placer::place`](super::Placer::place), for the planner to carry out. Its
/// `Display` form is logged and shown to operators.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum Decision {
    /// Start a job on a worker.
    #[display("start job={job} worker={worker} score={score:.4} why={reason}")]
    Start {
        /// Id of the job.
        job: Name,
        /// The worker on which the job runs.
        worker: Name,
        /// Resources to reserve: the declared need, or more if recent jobs of the same customer and
        /// class used more.
        need: Resources,
        /// Increase in the predicted latency cost plus small terms for packing and spreading; the
        /// lowest score is the best.
        score: f64,
        /// The best candidates, of which the first was chosen.
        reason: Reason,
    },
    /// Checkpoint and stop a task. Its resources stay allocated until the agent reports its end.
    #[display("evict job={job} worker={worker} for={for_job} why={reason}")]
    Evict {
        /// Id of the job to evict.
        job: Name,
        /// The worker on which the job runs.
        worker: Name,
        /// The urgent job that needs the resources. Empty if the eviction protects the worker's
        /// service, or ends the overuse of the VM's resources.
        for_job: Name,
        /// What the eviction is for, and why this task was chosen.
        reason: Reason,
    },
    /// Change the share of its processors that a task may use, in either direction.
    #[display("throttle job={job} worker={worker} permille={permille} why={reason}")]
    Throttle {
        /// Id of the job.
        job: Name,
        /// The worker on which the job runs.
        worker: Name,
        /// New share in thousandths; 1000 is full speed.
        permille: u32,
        /// Whether latency is high or low, or which resource is overused.
        reason: Reason,
    },
    /// Keep a job in the queue. The next call decides on the job again.
    #[display("wait job={job} why={reason}")]
    Wait {
        /// Id of the job.
        job: Name,
        /// What the job waits for.
        reason: Reason,
    },
    /// Reject a job that can never run, because it fits on no worker or exceeds its customer's
    /// quota.
    #[display("impossible job={job} resource={resource} largest={largest} why={reason}")]
    Impossible {
        /// Id of the job.
        job: Name,
        /// The resource of which the job needs too much.
        resource: Resource,
        /// The worker that offers most of that resource. Empty if the job exceeds the quota.
        largest: Name,
        /// How much the job needs and how much is offered.
        reason: Reason,
    },
    /// Fail a job that failed as often as its class allows, on workers that were not quarantined.
    #[display("give up job={job} why={reason}")]
    GiveUp {
        /// Id of the job.
        job: Name,
        /// Number of failures, and the last worker.
        reason: Reason,
    },
    /// Stop giving a worker new jobs because several different jobs, or the job of a probe, failed
    /// there.
    #[display("quarantine worker={worker} why={reason}")]
    Quarantine {
        /// Name of the worker.
        worker: Name,
        /// Number of jobs that failed, and end of the quarantine.
        reason: Reason,
    },
    /// End a worker's quarantine: start a probe with one job, or lift all limits after a successful
    /// probe.
    #[display("release worker={worker} why={reason}")]
    Release {
        /// Name of the worker.
        worker: Name,
        /// Either `ProbeStarted` or `ProbeSucceeded`.
        reason: Reason,
    },
}

impl Decision {
    /// Returns the job to start, stop, throttle, keep waiting or fail. `None` if the decision is
    /// about a worker's quarantine.
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
