use geraniumpost_schema::{Name, Resources};

use super::RunOutcome;
use crate::Millis;

/// A report from which the placer learns. It may arrive long after the time `at` of the event.
#[derive(Debug, Clone, PartialEq)]
pub enum Observation {
    /// A run of a job started.
    Started {
        /// Id of the job.
        job: Name,
        /// Name of the customer that owns the job.
        customer: Name,
        /// Name of the job's class in the configuration document.
        class: Name,
        /// The worker on which the run takes place.
        worker: Name,
        /// Resources reserved for the run: the `need` of
        /// [`Decision::Start`](super::Decision::Start).
        need: Resources,
        /// Start of the run.
        at: Millis,
    },
    /// A run of a job ended.
    Ended {
        /// Id of the job.
        job: Name,
        /// The worker on which the run took place.
        worker: Name,
        /// Whether the run succeeded, or how it ended otherwise.
        outcome: RunOutcome,
        /// End of the run.
        at: Millis,
    },
    /// A task was throttled or sped up.
    Throttled {
        /// Id of the job.
        job: Name,
        /// The worker on which the run takes place.
        worker: Name,
        /// Share of its processors that the task may use, in thousandths.
        permille: u32,
        /// Time at which the new speed took effect.
        at: Millis,
    },
    /// The latency of a worker's service was measured.
    Latency {
        /// The worker on the same VM as the minion.
        worker: Name,
        /// The service of the minion on the worker's VM.
        service: Name,
        /// Busy share of the minion's slots, in thousandths.
        load_permille: u32,
        /// 99th percentile of service time, in microseconds.
        p99_us: u64,
        /// Time of the measurement.
        at: Millis,
    },
    /// A task's usage was measured.
    Usage {
        /// Id of the job.
        job: Name,
        /// Name of the customer that owns the job.
        customer: Name,
        /// Name of the job's class in the configuration document.
        class: Name,
        /// Resources that the job declared.
        need: Resources,
        /// Resources that the task used.
        usage: Resources,
        /// Time of the measurement.
        at: Millis,
    },
}
