use geraniumpost_schema::{Name, ToAgent};

use super::JobResponse;
use crate::placement::Observation;

/// An action that a [`Planner`](super::Planner) requests from the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Write a bucket if it has the expected revision.
    Commit {
        /// Index of the bucket.
        bucket: usize,
        /// Expected revision, `None` if the bucket must be absent.
        expected: Option<u64>,
        /// Encoded bucket.
        value: Vec<u8>,
    },
    /// Read a bucket from the store.
    Read {
        /// Index of the bucket.
        bucket: usize,
    },
    /// Send a message to an agent. It may be dropped if there is no link.
    Send {
        /// Name of the agent.
        agent: Name,
        /// Message to the agent.
        frame: ToAgent,
    },
    /// Respond to a submission or cancellation.
    Reply {
        /// Number passed with the event.
        request_id: u64,
        /// Response to the request.
        response: JobResponse,
    },
    /// Pass an observation to the placer.
    Observe(Observation),
    /// Notify the lease that no earlier holder can grant agent leases any longer.
    PredecessorsExpired,
    /// Stop planning because another planner has taken over or the records cannot be read. The text
    /// is the reason for the log.
    StepDown(&'static str),
}
