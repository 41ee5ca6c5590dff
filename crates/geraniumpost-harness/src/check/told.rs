use std::time::Duration;

use bytes::Bytes;

/// The last word that a caller got about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Word {
    /// A minion's answer.
    Answered {
        /// Status of the answer.
        status: u16,
        /// Its whole body.
        body: Bytes,
    },
    /// The request certainly did not run.
    NotRun,
    /// The request ran or may have run, without an answer to show for it.
    MayHaveRun,
    /// No word at all: the entry died or the caller stopped waiting.
    Nothing,
    /// No connection to the entry; not one byte was sent.
    Unreachable,
}

/// A request and what its caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// `X-Request-Id`, different for each request.
    pub request_id: String,
    /// `Idempotency-Key`, empty if there was none; repeats share it.
    pub key: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Body of the request; repeats share it.
    pub body: Bytes,
    /// Least size of the answer that was asked for.
    pub answer_bytes: usize,
    /// What the caller was told.
    pub word: Word,
    /// `X-Result-Code` of the answer, 0 if there was none.
    pub code: u16,
    /// Time from sending to the last word.
    pub took: Duration,
}

impl Told {
    /// Returns what identifies the caller's intention: the key, or the request if it has none.
    pub fn intention(&self) -> &str {
        if self.key.is_empty() { &self.request_id } else { &self.key }
    }
}
