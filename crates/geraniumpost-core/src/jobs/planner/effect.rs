use geraniumpost_schema::Name;

use super::JobResponse;

/// What may only happen once a bucket's change is in the store.
#[derive(Debug, Clone)]
pub(super) enum Effect {
    /// Answers a submitter or canceller.
    Reply { reply: u64, answer: JobResponse },
    /// Lets the order to start go out.
    Assigned { job: Name, epoch: u64 },
    /// Lets the order to stop go out.
    CancelWanted { job: Name },
    /// Lets the agent forget a final report.
    Settled { agent: Name, job: Name, epoch: u64 },
}
