use derive_more::Display;
use geraniumpost_schema::{Name, Resources};

use super::{Candidate, Resource};
use crate::Millis;

/// Why a decision was taken, in the words an operator reads in logs and in `explain`.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum Reason {
    /// The worker with the least predicted harm among those with room.
    #[display("least predicted harm of {weighed} with room [{}]", list(best))]
    LeastHarm {
        /// Workers that had room.
        weighed: u32,
        /// The best of them, the chosen one first.
        best: Vec<Candidate>,
    },
    /// No worker has room now.
    #[display("no open worker has room for {} now", amount(need))]
    NoRoom {
        /// What is looked for.
        need: Resources,
    },
    /// An urgent job finds no room, and no more tasks may be evicted this minute.
    #[display("no room for {} now, and the evictions of this minute are spent", amount(need))]
    EvictionsSpent {
        /// What is looked for.
        need: Resources,
    },
    /// The customer holds what its quota allows.
    #[display("customer {customer} is at its quota of {resource}")]
    OverQuota {
        /// The customer.
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
        /// The resource that no worker has enough of.
        resource: Resource,
        /// How much the job needs.
        needed: u64,
        /// The worker that offers most of it.
        largest: Name,
        /// How much that is.
        offered: u64,
    },
    /// The customer's quota is smaller than this one job.
    #[display("needs {needed} of {resource}, customer {customer} has a quota of {quota}")]
    BeyondQuota {
        /// The customer.
        customer: Name,
        /// The resource.
        resource: Resource,
        /// How much the job needs.
        needed: u64,
        /// How much the customer may ever hold.
        quota: u64,
    },
    /// The configuration knows no such customer.
    #[display("customer {customer} is not in the configuration")]
    UnknownCustomer {
        /// The customer.
        customer: Name,
    },
    /// Every worker with room has a service that the job would push over its target.
    #[display("would push a service to {after_permille} permille of its target at best, on {best}")]
    TooHarmful {
        /// The best worker.
        best: Name,
        /// Its predicted p99 with the job, in thousandths of the target.
        after_permille: u32,
    },
    /// A service nears its target.
    #[display("p99 at {p99_permille} permille of the target, {harm_permille} of it by this task")]
    Pressed {
        /// Smoothed p99, in thousandths of the target.
        p99_permille: u32,
        /// What the task adds by the model.
        harm_permille: u32,
    },
    /// A service is calm again.
    #[display("p99 at {p99_permille} permille of the target")]
    Calm {
        /// Smoothed p99, in thousandths of the target.
        p99_permille: u32,
    },
    /// The tasks of a VM use more than is theirs.
    #[display(
        "tasks use {used} of {resource}, {allowed} is theirs; this one outgrew its size most"
    )]
    Outgrown {
        /// The resource.
        resource: Resource,
        /// What the tasks use together.
        used: u64,
        /// What they may use.
        allowed: u64,
    },
    /// The worker failed several different jobs in a row.
    #[display("failed {jobs} different jobs in a row, probed at {until} ms")]
    FailsJobs {
        /// How many.
        jobs: u32,
        /// When it is given one job again.
        until: Millis,
    },
    /// The worker is given one job at a time to see whether it is sound.
    #[display("probed with one job at a time")]
    Probed,
    /// The worker's probe ran well.
    #[display("its probe ran well")]
    Sound,
    /// The job failed on several workers that are not to blame.
    #[display("failed {failures} times on sound workers, last on {last}")]
    FailsEverywhere {
        /// How often.
        failures: u32,
        /// Where it failed last.
        last: Name,
    },
    /// The job waited long and is next on a worker that is kept for it.
    #[display("waited long; {worker} is kept for it")]
    Kept {
        /// The worker.
        worker: Name,
    },
    /// An urgent job needs the room.
    #[display("cheapest room for urgent {for_job}, losing {lost_ms} ms of work")]
    RoomForUrgent {
        /// The urgent job.
        for_job: Name,
        /// Work since the latest checkpoint.
        lost_ms: u64,
    },
    /// An urgent job waits until evicted tasks have stopped.
    #[display("waits for evicted tasks to stop on {worker}")]
    AwaitsEviction {
        /// Where the room is being made.
        worker: Name,
    },
}

/// Writes candidates apart.
fn list(best: &[Candidate]) -> String {
    best.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
}

/// Writes an amount.
pub(super) fn amount(need: &Resources) -> String {
    format!("{}m/{}MiB/{}acc", need.milli_cpus, need.memory_mb, need.accelerators)
}
