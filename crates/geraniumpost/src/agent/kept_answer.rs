use std::sync::Arc;

use bytes::Bytes;
use geraniumpost_net::Frame;
use geraniumpost_schema::{AnswerHead, HeaderField, Load, Outcome, RequestId, ToEntry};

/// Maximum size of a body that is copied, in bytes. Copying a larger body would cost more time than
/// the saved memory is worth.
const MAX_COPIED_BYTES: usize = 64 * 1024;

/// Final outcome of an attempt, kept for later queries. Clones share the data.
#[derive(Debug, Clone, PartialEq)]
pub struct KeptAnswer(Arc<AnswerData>);

#[derive(Debug, PartialEq)]
struct AnswerData {
    outcome: Outcome,
    status: u16,
    headers: Vec<HeaderField>,
    body: Bytes,
    retry_after_ms: u64,
}

impl KeptAnswer {
    /// Keeps a complete answer of a minion.
    ///
    /// Small bodies are copied. The body is a slice of the connection's read buffer and keeps the
    /// whole buffer allocated, which may be several kilobytes for a body of a hundred bytes. With
    /// thousands of kept answers, the agent would use much more memory than [`Self::size`] counts.
    pub fn answered(status: u16, headers: Vec<HeaderField>, body: Bytes) -> Self {
        let outcome = Outcome::Answered;
        let body =
            if body.len() <= MAX_COPIED_BYTES { Bytes::copy_from_slice(&body) } else { body };
        Self(Arc::new(AnswerData { outcome, status, headers, body, retry_after_ms: 0 }))
    }

    /// Keeps an outcome without an answer of the minion; `retry_after_ms` is 0 if unknown.
    pub fn without_answer(outcome: Outcome, retry_after_ms: u64) -> Self {
        let (headers, body) = (Vec::new(), Bytes::new());
        Self(Arc::new(AnswerData { outcome, status: 0, headers, body, retry_after_ms }))
    }

    /// Returns the approximate memory use in bytes.
    pub fn size(&self) -> usize {
        let headers = self.0.headers.iter().map(|field| field.name.len() + field.value.len());
        self.0.body.len() + headers.sum::<usize>()
    }

    /// Returns whether the minion has processed the request successfully.
    ///
    /// A status of 500 or above counts as a failure of the minion. A broken minion often returns
    /// such a status immediately, and would otherwise appear to be the fastest.
    pub fn is_success(&self) -> bool {
        self.0.outcome == Outcome::Answered && self.0.status < 500
    }

    /// Returns the message that answers attempt `id`.
    pub fn frame(&self, id: RequestId, load: Load) -> Frame<ToEntry> {
        let data = &self.0;
        let head = AnswerHead {
            id,
            outcome: data.outcome,
            status: data.status,
            headers: data.headers.clone(),
            retry_after_ms: data.retry_after_ms,
            load,
        };
        Frame { head: ToEntry::Answer(head), body: data.body.clone() }
    }
}
