use std::sync::Arc;

use bytes::Bytes;
use geraniumpost_net::Frame;
use geraniumpost_schema::{AnswerHead, HeaderField, Load, Outcome, RequestId, ToEntry};

/// Largest body that is copied; copying a larger one would cost more than it saves.
const MOST_COPIED: usize = 64 * 1024;

/// The final word on an attempt, kept for whoever asks later and cheap to clone.
#[derive(Debug, Clone, PartialEq)]
pub struct KeptAnswer(Arc<Parts>);

#[derive(Debug, PartialEq)]
struct Parts {
    outcome: Outcome,
    status: u16,
    headers: Vec<HeaderField>,
    body: Bytes,
    retry_after_ms: u64,
}

impl KeptAnswer {
    /// Keeps a minion's whole answer.
    ///
    /// The body is a slice of the buffer that the connection was read into and would hold all of
    /// it, some kilobytes for a badge of a hundred bytes. Thousands of answers kept so would show
    /// as an agent that outgrows its memory, though [`Self::size`] counts little. Hence the copy.
    pub fn answered(status: u16, headers: Vec<HeaderField>, body: Bytes) -> Self {
        let outcome = Outcome::Answered;
        let body = if body.len() <= MOST_COPIED { Bytes::copy_from_slice(&body) } else { body };
        Self(Arc::new(Parts { outcome, status, headers, body, retry_after_ms: 0 }))
    }

    /// Keeps an outcome without an answer of a minion; `retry_after_ms` is 0 if unknown.
    pub fn without_answer(outcome: Outcome, retry_after_ms: u64) -> Self {
        let (headers, body) = (Vec::new(), Bytes::new());
        Self(Arc::new(Parts { outcome, status: 0, headers, body, retry_after_ms }))
    }

    /// Returns the bytes that keeping this costs, roughly.
    pub fn size(&self) -> usize {
        let headers = self.0.headers.iter().map(|field| field.name.len() + field.value.len());
        self.0.body.len() + headers.sum::<usize>()
    }

    /// Returns whether the minion did what it was asked to.
    ///
    /// A status from 500 on counts as the minion's failure, since a broken minion answers so at
    /// once and would otherwise look like the fastest of all.
    pub fn is_success(&self) -> bool {
        self.0.outcome == Outcome::Answered && self.0.status < 500
    }

    /// Returns the frame that answers attempt `id`.
    pub fn frame(&self, id: RequestId, load: Load) -> Frame<ToEntry> {
        let parts = &self.0;
        let head = AnswerHead {
            id,
            outcome: parts.outcome,
            status: parts.status,
            headers: parts.headers.clone(),
            retry_after_ms: parts.retry_after_ms,
            load,
        };
        Frame { head: ToEntry::Answer(head), body: parts.body.clone() }
    }
}
