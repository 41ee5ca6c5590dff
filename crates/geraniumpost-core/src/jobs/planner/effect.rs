use geraniumpost_schema::Name;

use super::JobResponse;

/// An effect that must not happen before a bucket's change is in the store.
#[derive(Debug, Clone)]
pub(super) enum Effect {
    /// Responds to a submission or cancellation.
    Reply { request_id: u64, response: JobResponse },
    /// Marks an assignment as committed and sends the start order of its run.
    SendStart { job: Name, epoch: u64 },
    /// Changes the goal of a cancelled job's run to `Stop` and sends the order.
    SendStop { job: Name },
    /// Notifies the agent that a final report is recorded and the task may be deleted.
    SendSettled { agent: Name, job: Name, epoch: u64 },
}
