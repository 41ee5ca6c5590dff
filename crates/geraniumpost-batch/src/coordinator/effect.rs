use geraniumpost_schema::Name;

use crate::{CallerResponse, JobId, TaskId, ToAgent};

/// An action that the driver has to perform for the coordinator.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Write records, then call
    /// [`Coordinator::handle_batch_written`](super::Coordinator::handle_batch_written).
    Write(WriteBatch),
    /// Respond to a caller's request.
    Respond {
        /// Id that was passed to
        /// [`Coordinator::handle_request`](super::Coordinator::handle_request).
        request_id: u64,
        /// Response that is passed on to the caller.
        response: CallerResponse,
    },
    /// Send a message to an agent.
    Send {
        /// Name of the receiving agent.
        agent: Name,
        /// Content, to be sent over the agent's current link.
        message: ToAgent,
    },
    /// Ask the admission service which minions may run a step, then call
    /// [`Coordinator::handle_approval`](super::Coordinator::handle_approval).
    RequestApproval {
        /// The step, identified by its first task.
        step: TaskId,
        /// Minions on which the step may run if the service approves.
        minions: Vec<Name>,
    },
    /// A minion has accepted orders of a newer coordinator. The driver has to check which
    /// coordinator is current.
    Superseded,
    /// Write a log line that consists of `key=value` fields.
    Log(String),
}

/// Records that are written in one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteBatch {
    /// Identifies the batch in
    /// [`Coordinator::handle_batch_written`](super::Coordinator::handle_batch_written).
    pub number: u64,
    /// Records to write, encoded.
    pub put: Vec<(JobId, Vec<u8>)>,
    /// Jobs whose records are to be removed.
    pub remove: Vec<JobId>,
    /// Learned interference for a successor, encoded ([`crate::InterferenceSnapshot`]).
    pub interference: Option<Vec<u8>>,
}
