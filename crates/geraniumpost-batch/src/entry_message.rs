use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::{JobId, JobSpec, JobState, QueueTerms};

/// What an entry asks of the coordinator for a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallerRequest {
    /// Accept a job; the same job again is no second one.
    Submit {
        /// The job.
        job: JobId,
        /// What to run.
        spec: JobSpec,
        /// How its queue wants it treated.
        terms: QueueTerms,
    },
    /// Cancel a job.
    Cancel(JobId),
    /// Tell a job's state.
    State(JobId),
    /// Count a queue's jobs that have not begun.
    Pending(Name),
}

/// What the coordinator answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerResponse {
    /// The job is accepted and committed.
    Accepted,
    /// The job is not accepted and never will be by this request.
    Refused {
        /// When to try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job can never run as it is.
    Invalid,
    /// The job's state, as committed.
    State(JobState),
    /// The cancellation is committed, or the job was over already.
    Cancelled,
    /// There is no such job.
    Unknown,
    /// Jobs that have not begun.
    Pending(u64),
}

/// What an entry sends to the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromEntry {
    /// Is the coordinator alive?
    Ping {
        /// Version of the configuration in force at the entry; 0 for none.
        configuration: u64,
        /// When the coordinator sent its last pong, if the entry supports that one: it promises to follow no
        /// successor for a while after that pong.
        supports: Option<TermTime>,
        /// Whether the entry is about to stop, and should be counted no more.
        stopping: bool,
    },
    /// A caller's request.
    Request {
        /// Names the answer.
        ticket: u64,
        /// The request.
        request: CallerRequest,
    },
}

/// A moment in a coordinator's term, by its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermTime {
    /// The term.
    pub term: u64,
    /// Milliseconds on the coordinator's steady clock.
    pub steady_ms: u64,
}

/// What the coordinator sends to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// The coordinator is alive.
    Pong {
        /// Whether it reaches the store.
        store_ok: bool,
        /// The newest version of the configuration that the coordinator has or has heard of; 0 for none.
        configuration: u64,
        /// When it is sent.
        sent: TermTime,
    },
    /// The answer to a request.
    Response {
        /// The request's ticket.
        ticket: u64,
        /// The answer.
        response: CallerResponse,
    },
}
