use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::{JobId, JobSpec, JobState, QueueTerms};

/// A caller's request, which an entry passes on to the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallerRequest {
    /// Submit a job. Submitting the same job id again does not create a second job.
    Submit {
        /// Id of the job, chosen by its submitter.
        job: JobId,
        /// Steps, payload and repetitions of the job.
        spec: JobSpec,
        /// Settings of the job's queue at submission.
        terms: QueueTerms,
    },
    /// Cancel a job, and stop its runs.
    Cancel(JobId),
    /// Read a job's state; the job is unknown before its acceptance is committed.
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
    /// The job's committed state. A queued job with a started task is reported as running.
    State(JobState),
    /// The cancellation is committed, or the job had already finished.
    Cancelled,
    /// No job with this id is known.
    Unknown,
    /// Number of the queue's jobs that have not started.
    Pending(u64),
}

/// A message from an entry to the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromEntry {
    /// Asks whether the coordinator is alive.
    Ping {
        /// Version of the entry's current configuration; 0 for none.
        configuration: u64,
        /// Time of the last pong that the entry received, if the entry supports this coordinator.
        /// The entry then promises to follow no successor for
        /// [`PROMISE_DURATION_MS`](crate::tuning::PROMISE_DURATION_MS) after that pong.
        supports: Option<TermTime>,
        /// Whether the entry is about to stop and should no longer be a voter.
        stopping: bool,
    },
    /// A request that the entry passes on for a caller.
    Request {
        /// Number chosen by the entry; the response repeats the number.
        request_id: u64,
        /// What the caller asks for.
        request: CallerRequest,
    },
}

/// A time within a coordinator's term, on the coordinator's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermTime {
    /// Number of the coordinator's term.
    pub term: u64,
    /// The coordinator's monotonic clock in milliseconds.
    pub steady_ms: u64,
}

/// A message from the coordinator to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Response to a ping. The entry's next ping repeats `sent` if the entry supports this
    /// coordinator.
    Pong {
        /// Whether the coordinator reaches the store.
        store_ok: bool,
        /// The newest configuration version that is known to the coordinator; 0 for none.
        configuration: u64,
        /// Time at which the coordinator sent the pong.
        sent: TermTime,
    },
    /// The response to a [`FromEntry::Request`], sent once everything that it confirms is
    /// committed.
    Response {
        /// Number of the request, from [`FromEntry::Request`].
        request_id: u64,
        /// What the entry passes on to the caller.
        response: CallerResponse,
    },
}
