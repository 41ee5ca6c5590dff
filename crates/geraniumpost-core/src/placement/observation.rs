use geraniumpost_schema::{Name, Resources};

use super::RunOutcome;
use crate::Millis;

/// What the placer learns from; `at` is when it happened, which may be long ago.
#[derive(Debug, Clone, PartialEq)]
pub enum Observation {
    /// A task began to run.
    Started {
        /// The job.
        job: Name,
        /// Its customer.
        customer: Name,
        /// Its class.
        class: Name,
        /// Where it runs.
        worker: Name,
        /// What is reserved for it.
        need: Resources,
        /// When it began.
        at: Millis,
    },
    /// A task ended.
    Ended {
        /// The job.
        job: Name,
        /// Where it ran.
        worker: Name,
        /// How it ended.
        outcome: RunOutcome,
        /// When it ended.
        at: Millis,
    },
    /// A task's speed was set.
    Throttled {
        /// The job.
        job: Name,
        /// Where it runs.
        worker: Name,
        /// Share of its processors it may use, in thousandths.
        permille: u32,
        /// When that took hold.
        at: Millis,
    },
    /// A service's latency was measured on a worker.
    Latency {
        /// The worker.
        worker: Name,
        /// The service.
        service: Name,
        /// Busy share of the minion's slots in thousandths.
        load_permille: u32,
        /// 99th percentile of service time in microseconds.
        p99_us: u64,
        /// When it was measured.
        at: Millis,
    },
    /// A task's usage was measured.
    Usage {
        /// The job.
        job: Name,
        /// Its customer.
        customer: Name,
        /// Its class.
        class: Name,
        /// What it declared.
        need: Resources,
        /// What it was seen to use.
        usage: Resources,
        /// When it was measured.
        at: Millis,
    },
}
