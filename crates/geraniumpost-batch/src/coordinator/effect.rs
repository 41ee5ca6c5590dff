use geraniumpost_schema::Name;

use crate::{CallerResponse, JobId, TaskId, ToAgent};

/// What the shell has to do for the coordinator.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Write records, and report it with [`Coordinator::batch_written`](super::Coordinator::batch_written).
    Write(WriteBatch),
    /// Answer a request.
    Reply {
        /// The request's ticket.
        ticket: u64,
        /// The answer.
        response: CallerResponse,
    },
    /// Send a message to an agent.
    Send {
        /// The agent.
        agent: Name,
        /// The message.
        message: ToAgent,
    },
    /// Ask the admission service which minions may run a step, and report it with
    /// [`Coordinator::handle_approval`](super::Coordinator::handle_approval).
    RequestApproval {
        /// The step, named by its first task.
        step: TaskId,
        /// The minions in question.
        minions: Vec<Name>,
    },
    /// A minion has obeyed a newer coordinator: check who coordinates.
    Superseded,
    /// Something was decided that the log should tell.
    Log(String),
}

/// Records that are written together or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteBatch {
    /// Names the batch when it is reported as written.
    pub number: u64,
    /// Records to write.
    pub put: Vec<(JobId, Vec<u8>)>,
    /// Records to remove.
    pub remove: Vec<JobId>,
    /// What was learnt of images, for a successor ([`crate::InterferenceSnapshot`]).
    pub interference: Option<Vec<u8>>,
}
