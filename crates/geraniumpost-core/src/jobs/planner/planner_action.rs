use geraniumpost_schema::{Name, ToAgent};

use super::JobResponse;
use crate::placement::Observation;

/// An action that a [`Planner`](super::Planner) requests from the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Write a bucket if it has the expected revision.
    Commit {
        /// Index of the bucket, below [`BUCKETS`](crate::jobs::BUCKETS).
        bucket: usize,
        /// Expected revision, `None` if the bucket must be absent.
        expected: Option<u64>,
        /// Value to be written, as encoded by [`Bucket::encode`](crate::jobs::Bucket::encode).
        value: Vec<u8>,
    },
    /// Read a bucket from the store; the result is `ReadDone` or `ReadFailed`.
    Read {
        /// Index of the bucket, below [`BUCKETS`](crate::jobs::BUCKETS).
        bucket: usize,
    },
    /// Send a message to an agent. It may be dropped if there is no link.
    Send {
        /// Name of the receiver, as in its heartbeats.
        agent: Name,
        /// Order, request for the inventory, or confirmation that a run is settled.
        frame: ToAgent,
    },
    /// Respond to a submission or cancellation.
    Reply {
        /// Number that was passed with the event of the request.
        request_id: u64,
        /// Result code and details for the customer.
        response: JobResponse,
    },
    /// Pass an observation to the placer.
    Observe(Observation),
    /// Report to [`PlannerLease`](crate::jobs::PlannerLease) that no earlier holder can grant agent
    /// leases any longer.
    PredecessorsExpired,
    /// Stop planning because another planner has taken over or the records cannot be read. The
    /// string is the reason, to be logged.
    StepDown(&'static str),
}
