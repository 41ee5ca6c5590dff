use derive_more::Display;
use geraniumpost_schema::{Name, Resources};

use super::{Candidate, Resource};
use crate::Millis;

/// Reason for a decision. Its `Display` form is logged, shown to operators by `explain`, and kept
/// in the results of jobs.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum Reason {
    /// The worker has the best score among those with capacity, or a random candidate was chosen so
    /// that the model learns more.
    #[display("least predicted harm of {considered} with room [{}]", join_candidates(best))]
    LeastInterference {
        /// Number of workers with capacity.
        considered: u32,
        /// Up to three workers with the best scores, the chosen worker first.
        best: Vec<Candidate>,
    },
    /// No worker has enough free resources for the job.
    #[display("no open worker has room for {} now", format_amount(need))]
    NoCapacity {
        /// Resources that would be reserved for the job.
        need: Resources,
    },
    /// No worker has capacity for an urgent job, and the eviction budget of the last minute is used
    /// up.
    #[display(
        "no room for {} now, and the evictions of this minute are spent",
        format_amount(need)
    )]
    EvictionBudgetSpent {
        /// Resources that would be reserved for the job.
        need: Resources,
    },
    /// The start would exceed the customer's quota now.
    #[display("customer {customer} is at its quota of {resource}")]
    QuotaReached {
        /// Customer that owns the job.
        customer: Name,
        /// The resource of which the quota would be exceeded.
        resource: Resource,
    },
    /// The job must not start yet because it backs off after a failure.
    #[display("backs off until {until} ms")]
    BackOff {
        /// Time at which the job may start.
        until: Millis,
    },
    /// No worker is known yet, or the planner has taken over recently and more workers may announce
    /// themselves.
    #[display("workers are still announcing themselves")]
    AwaitingWorkers,
    /// The job fits on no worker, even without other tasks.
    #[display("needs {needed} of {resource}, the largest worker {largest} offers {offered}")]
    TooLarge {
        /// The resource of which no worker has enough.
        resource: Resource,
        /// Amount that the job needs, in the unit of `resource`.
        needed: u64,
        /// The worker that offers most of the resource.
        largest: Name,
        /// Amount that this worker offers to batch work, in the unit of `resource`.
        offered: u64,
    },
    /// The job alone exceeds its customer's quota.
    #[display("needs {needed} of {resource}, customer {customer} has a quota of {quota}")]
    ExceedsQuota {
        /// Customer that owns the job.
        customer: Name,
        /// The resource of which the job needs more than the quota.
        resource: Resource,
        /// Amount that the job needs, in the unit of `resource`.
        needed: u64,
        /// Amount that the quota allows, in the unit of `resource`.
        quota: u64,
    },
    /// The configuration has no such customer.
    #[display("customer {customer} is not in the configuration")]
    UnknownCustomer {
        /// Customer that owns the job.
        customer: Name,
    },
    /// On every worker with capacity the service's p99 would come too close to its target, so the
    /// job waits for a better worker for a limited time.
    #[display(
        "would push a service to {predicted_permille} permille of its target at best, on {best}"
    )]
    ExcessiveInterference {
        /// The worker with the lowest increase in latency cost.
        best: Name,
        /// Predicted p99 of the service on that worker with the job, in thousandths of the target.
        predicted_permille: u32,
    },
    /// The service's smoothed p99 has been above its target for a while.
    #[display("p99 at {p99_permille} permille of the target, {task_permille} of it by this task")]
    LatencyHigh {
        /// Smoothed p99, in thousandths of the target.
        p99_permille: u32,
        /// Part of the p99 that the task adds by the model's prediction, in thousandths of the
        /// target.
        task_permille: u32,
    },
    /// The service's smoothed p99 has been well below its target for a while.
    #[display("p99 at {p99_permille} permille of the target")]
    LatencyRecovered {
        /// Smoothed p99, in thousandths of the target.
        p99_permille: u32,
    },
    /// The tasks on a VM together use more than they may.
    #[display(
        "tasks use {used} of {resource}, {allowed} is theirs; this one outgrew its size most"
    )]
    OverAllowance {
        /// The resource that is overused.
        resource: Resource,
        /// Amount that the tasks use together, in the unit of `resource`.
        used: u64,
        /// Amount that the tasks may use together, in the unit of `resource`.
        allowed: u64,
    },
    /// Several different jobs, or the job of a probe, failed on the worker, which is therefore
    /// quarantined.
    #[display("failed {jobs} different jobs in a row, probed at {until} ms")]
    WorkerFailsJobs {
        /// Number of different jobs with recent failures on the worker.
        jobs: u32,
        /// End of the quarantine, after which the worker is probed with one job.
        until: Millis,
    },
    /// After a quarantine the worker is given one job at a time, to test whether its runs succeed.
    #[display("probed with one job at a time")]
    ProbeStarted,
    /// The probe's run succeeded, so the worker gets jobs without a limit again.
    #[display("its probe ran well")]
    ProbeSucceeded,
    /// The job failed as often as its class allows, on workers that were not quarantined.
    #[display("failed {failures} times on sound workers, last on {last}")]
    FailsOnSeveralWorkers {
        /// Number of failures that count against the job.
        failures: u32,
        /// Worker of the last of these failures.
        last: Name,
    },
    /// The job has waited long, so resources on a worker are reserved for the job until enough
    /// tasks there have ended.
    #[display("waited long; {worker} is kept for it")]
    WorkerReserved {
        /// The worker with the reserved resources.
        worker: Name,
    },
    /// The task is evicted because an urgent job needs its resources.
    #[display("cheapest room for urgent {for_job}, losing {lost_ms} ms of work")]
    PreemptedByUrgent {
        /// Id of the urgent job.
        for_job: Name,
        /// Run time since the latest checkpoint, which is lost.
        lost_ms: u64,
    },
    /// An urgent job waits until the tasks that are evicted for it have stopped.
    #[display("waits for evicted tasks to stop on {worker}")]
    AwaitsEviction {
        /// The worker on which the evicted tasks run.
        worker: Name,
    },
}

/// Formats candidates, separated by spaces.
fn join_candidates(best: &[Candidate]) -> String {
    best.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
}

/// Formats resources as thousandths of processors, mebibytes of memory and accelerators.
pub(super) fn format_amount(need: &Resources) -> String {
    format!("{}m/{}MiB/{}acc", need.milli_cpus, need.memory_mb, need.accelerators)
}
