use geraniumpost_schema::Name;

use crate::{CallerResponse, JobId, TaskId, ToAgent};

/// An action that the driver has to perform for the coordinator.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Write records, then call [`Coordinator::handle_batch_written`](super::Coordinator::handle_batch_written).
    Write(WriteBatch),
    /// Respond to a caller's request.
    Reply {
        /// Ticket that was passed with the request.
        request_id: u64,
        /// The response.
        response: CallerResponse,
    },
    /// Send a message to an agent.
    Send {
        /// The agent.
        agent: Name,
        /// The message.
        message: ToAgent,
    },
    /// Ask the admission service which minions may run a step, then call
    /// [`Coordinator::handle_approval`](super::Coordinator::handle_approval).
    RequestApproval {
        /// The step, identified by its first task.
        step: TaskId,
        /// The candidate minions.
        minions: Vec<Name>,
    },
    /// A minion has obeyed a newer coordinator: the driver has to check who coordinates.
    Superseded,
    /// Write a log line.
    Log(String),
}

/// Records that are written in one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteBatch {
    /// Identifies the batch in [`Coordinator::handle_batch_written`](super::Coordinator::handle_batch_written).
    pub number: u64,
    /// Records to write, encoded.
    pub put: Vec<(JobId, Vec<u8>)>,
    /// Jobs whose records are to be removed.
    pub remove: Vec<JobId>,
    /// Learned interference for a successor, encoded ([`crate::InterferenceSnapshot`]).
    pub interference: Option<Vec<u8>>,
}
