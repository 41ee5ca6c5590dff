use geraniumpost_schema::{Name, Resources};

use super::RunOutcome;
use crate::Millis;

/// A report that the placer learns from. `at` is when it happened, which may be long ago.
#[derive(Debug, Clone, PartialEq)]
pub enum Observation {
    /// A task began to run.
    Started {
        /// Id of the job.
        job: Name,
        /// The job's customer.
        customer: Name,
        /// The job's class.
        class: Name,
        /// The worker that runs it.
        worker: Name,
        /// Resources reserved for it.
        need: Resources,
        /// When it began.
        at: Millis,
    },
    /// A task ended.
    Ended {
        /// Id of the job.
        job: Name,
        /// The worker that ran it.
        worker: Name,
        /// How the run ended.
        outcome: RunOutcome,
        /// When it ended.
        at: Millis,
    },
    /// A task's speed was set.
    Throttled {
        /// Id of the job.
        job: Name,
        /// The worker that runs it.
        worker: Name,
        /// Share of its processors that the task may use, in thousandths.
        permille: u32,
        /// When the new speed took effect.
        at: Millis,
    },
    /// The latency of a worker's service was measured.
    Latency {
        /// Name of the worker.
        worker: Name,
        /// Name of the service.
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
        /// Id of the job.
        job: Name,
        /// The job's customer.
        customer: Name,
        /// The job's class.
        class: Name,
        /// Resources that the job declared.
        need: Resources,
        /// Measured resources.
        usage: Resources,
        /// When it was measured.
        at: Millis,
    },
}
