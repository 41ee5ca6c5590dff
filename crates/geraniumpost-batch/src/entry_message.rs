use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::{JobId, JobSpec, JobState, QueueTerms};

/// A caller's request, which an entry passes on to the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallerRequest {
    /// Submit a job. Submitting the same job id again does not create a second job.
    Submit {
        /// The job.
        job: JobId,
        /// Its specification.
        spec: JobSpec,
        /// The settings of its queue.
        terms: QueueTerms,
    },
    /// Cancel a job.
    Cancel(JobId),
    /// Read a job's state.
    State(JobId),
    /// Count a queue's jobs that have not started.
    Pending(Name),
}

/// The coordinator's response to a [`CallerRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerResponse {
    /// The job is accepted, and its record is committed.
    Accepted,
    /// The job is not accepted, and this request does not cause it to be accepted later.
    Refused {
        /// How long the caller should wait before it retries, in milliseconds.
        retry_after_ms: u64,
    },
    /// The job's specification can never be satisfied.
    Invalid,
    /// The job's committed state.
    State(JobState),
    /// The cancellation is committed, or the job had already finished.
    Cancelled,
    /// No such job exists.
    Unknown,
    /// Number of jobs that have not started.
    Pending(u64),
}

/// A message from an entry to the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromEntry {
    /// Asks whether the coordinator is alive.
    Ping {
        /// Version of the entry's current configuration; 0 for none.
        configuration: u64,
        /// When the coordinator sent the last pong that the entry received, if the entry supports
        /// this coordinator: it promises to follow no successor for a while after that pong.
        supports: Option<TermTime>,
        /// Whether the entry is about to stop and should no longer be a voter.
        stopping: bool,
    },
    /// A caller's request.
    Request {
        /// Identifies the response.
        request_id: u64,
        /// The request.
        request: CallerRequest,
    },
}

/// A time within a coordinator's term, on the coordinator's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermTime {
    /// The term.
    pub term: u64,
    /// The coordinator's monotonic clock in milliseconds.
    pub steady_ms: u64,
}

/// A message from the coordinator to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Response to a ping.
    Pong {
        /// Whether the coordinator reaches the store.
        store_ok: bool,
        /// The newest configuration version that the coordinator has or has been told of; 0 for
        /// none.
        configuration: u64,
        /// When the coordinator sends it.
        sent: TermTime,
    },
    /// The response to a request.
    Response {
        /// Ticket of the request.
        request_id: u64,
        /// The response.
        response: CallerResponse,
    },
}
