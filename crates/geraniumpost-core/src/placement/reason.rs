use derive_more::Display;
use geraniumpost_schema::{Name, Resources};

use super::{Candidate, Resource};
use crate::Millis;

/// Why a decision was taken. Its `Display` form is shown to operators in logs and in `explain`.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum Reason {
    /// The worker has one of the best scores among those with capacity.
    #[display("least predicted harm of {considered} with room [{}]", join_candidates(best))]
    LeastInterference {
        /// Number of workers with capacity.
        considered: u32,
        /// The best of them, the chosen one first.
        best: Vec<Candidate>,
    },
    /// No worker has capacity now.
    #[display("no open worker has room for {} now", format_amount(need))]
    NoCapacity {
        /// Resources that the job needs.
        need: Resources,
    },
    /// No worker has capacity for an urgent job, and the eviction budget of this minute is used up.
    #[display(
        "no room for {} now, and the evictions of this minute are spent",
        format_amount(need)
    )]
    EvictionBudgetSpent {
        /// Resources that the job needs.
        need: Resources,
    },
    /// The customer's quota is used up.
    #[display("customer {customer} is at its quota of {resource}")]
    QuotaReached {
        /// Name of the customer.
        customer: Name,
        /// The resource that is used up.
        resource: Resource,
    },
    /// The job backs off after a failure.
    #[display("backs off until {until} ms")]
    BackOff {
        /// Earliest start.
        until: Millis,
    },
    /// Workers may still be about to announce themselves.
    #[display("workers are still announcing themselves")]
    AwaitingWorkers,
    /// No worker is large enough.
    #[display("needs {needed} of {resource}, the largest worker {largest} offers {offered}")]
    TooLarge {
        /// The resource of which no worker has enough.
        resource: Resource,
        /// How much the job needs.
        needed: u64,
        /// The worker that offers most of it.
        largest: Name,
        /// How much that worker offers.
        offered: u64,
    },
    /// The customer's quota is smaller than this one job.
    #[display("needs {needed} of {resource}, customer {customer} has a quota of {quota}")]
    ExceedsQuota {
        /// Name of the customer.
        customer: Name,
        /// The resource of which the job needs more than the quota.
        resource: Resource,
        /// How much the job needs.
        needed: u64,
        /// How much the quota allows.
        quota: u64,
    },
    /// The configuration has no such customer.
    #[display("customer {customer} is not in the configuration")]
    UnknownCustomer {
        /// Name of the customer.
        customer: Name,
    },
    /// The job would bring the service of every worker with capacity too close to its target.
    #[display(
        "would push a service to {predicted_permille} permille of its target at best, on {best}"
    )]
    ExcessiveInterference {
        /// The worker with the best score.
        best: Name,
        /// Its predicted p99 with the job, in thousandths of the target.
        predicted_permille: u32,
    },
    /// The service's latency is above its target.
    #[display("p99 at {p99_permille} permille of the target, {task_permille} of it by this task")]
    LatencyHigh {
        /// Smoothed p99, in thousandths of the target.
        p99_permille: u32,
        /// What the task adds to it, as predicted by the model.
        task_permille: u32,
    },
    /// The service's latency is low again.
    #[display("p99 at {p99_permille} permille of the target")]
    LatencyRecovered {
        /// Smoothed p99, in thousandths of the target.
        p99_permille: u32,
    },
    /// The tasks of a VM use more than their allowance.
    #[display(
        "tasks use {used} of {resource}, {allowed} is theirs; this one outgrew its size most"
    )]
    OverAllowance {
        /// The resource of which they use too much.
        resource: Resource,
        /// What the tasks use together.
        used: u64,
        /// What they may use together.
        allowed: u64,
    },
    /// The worker failed several different jobs in a row.
    #[display("failed {jobs} different jobs in a row, probed at {until} ms")]
    WorkerFailsJobs {
        /// Number of jobs that failed.
        jobs: u32,
        /// When it is probed with one job.
        until: Millis,
    },
    /// The worker is given one job at a time to test whether it is sound.
    #[display("probed with one job at a time")]
    ProbeStarted,
    /// The worker's probe succeeded.
    #[display("its probe ran well")]
    ProbeSucceeded,
    /// The job failed on several workers that were not quarantined for it.
    #[display("failed {failures} times on sound workers, last on {last}")]
    FailsOnSeveralWorkers {
        /// Number of failures.
        failures: u32,
        /// Where it failed last.
        last: Name,
    },
    /// The job has waited long and a worker is reserved for it.
    #[display("waited long; {worker} is kept for it")]
    WorkerReserved {
        /// Name of the worker.
        worker: Name,
    },
    /// An urgent job needs the resources.
    #[display("cheapest room for urgent {for_job}, losing {lost_ms} ms of work")]
    PreemptedByUrgent {
        /// Id of the urgent job.
        for_job: Name,
        /// Work since the latest checkpoint.
        lost_ms: u64,
    },
    /// An urgent job waits until evicted tasks have stopped.
    #[display("waits for evicted tasks to stop on {worker}")]
    AwaitsEviction {
        /// The worker on which they run.
        worker: Name,
    },
}

/// Joins the texts of candidates.
fn join_candidates(best: &[Candidate]) -> String {
    best.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
}

/// Formats an amount of resources.
pub(super) fn format_amount(need: &Resources) -> String {
    format!("{}m/{}MiB/{}acc", need.milli_cpus, need.memory_mb, need.accelerators)
}
