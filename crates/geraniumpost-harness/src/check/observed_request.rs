use std::time::Duration;

use bytes::Bytes;

/// Outcome of a request as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A minion responded.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Complete body of the response.
        body: Bytes,
    },
    /// The system reported that the request did not run.
    NotRun,
    /// The system reported that the request ran or may have run, but not with which response.
    MayHaveRun,
    /// No response arrived, because the entry failed or the caller's timeout expired.
    NoResponse,
    /// The caller could not connect to the entry, so nothing was sent.
    Unreachable,
}

/// A request and the outcome that its caller observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedRequest {
    /// `X-Request-Id`, unique for each request.
    pub request_id: String,
    /// `Idempotency-Key`, which retries share; empty if the request had none.
    pub key: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Body of the request, which retries share.
    pub body: Bytes,
    /// Requested minimum size of the response.
    pub answer_bytes: usize,
    /// Outcome that the caller observed.
    pub outcome: Outcome,
    /// `X-Result-Code` of the response, 0 if there was none.
    pub code: u16,
    /// Time from sending the request to its outcome.
    pub elapsed: Duration,
}

impl ObservedRequest {
    /// Returns what a request has in common with its retries: its key, or its id if it has none.
    pub fn operation(&self) -> &str {
        if self.key.is_empty() { &self.request_id } else { &self.key }
    }
}
