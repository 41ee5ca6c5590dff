use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Method;

use crate::check::{ObservedRequest, Outcome};

static NEXT: AtomicU64 = AtomicU64::new(0);

/// Contents of a request that a caller sends, with a unique id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSpec {
    pub(crate) method: Method,
    pub(crate) request_id: String,
    pub(crate) key: String,
    pub(crate) body: Bytes,
    pub(crate) work_ms: u64,
    pub(crate) answer_bytes: usize,
    pub(crate) timeout: Duration,
}

impl RequestSpec {
    /// Creates an idempotent request.
    pub fn get() -> Self {
        Self::new(Method::GET)
    }

    /// Creates a request that may run at most once.
    pub fn post() -> Self {
        Self::new(Method::POST)
    }

    fn new(method: Method) -> Self {
        let (key, timeout) = (String::new(), Duration::from_secs(10));
        let request_id = next_id();
        Self { method, request_id, key, body: Bytes::new(), work_ms: 0, answer_bytes: 0, timeout }
    }

    /// Returns the same request with a new id, as a caller retries it.
    #[must_use]
    pub fn retry(&self) -> Self {
        Self { request_id: next_id(), ..self.clone() }
    }

    /// Omits the id, so that the entry generates one.
    #[must_use]
    pub fn without_id(self) -> Self {
        Self { request_id: String::new(), ..self }
    }

    /// Sets the `Idempotency-Key`.
    #[must_use]
    pub fn key(mut self, key: impl Into<String>) -> Self {
        self.key = key.into();
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the time for which the minion works on the request, in milliseconds.
    #[must_use]
    pub const fn work_ms(mut self, work_ms: u64) -> Self {
        self.work_ms = work_ms;
        self
    }

    /// Sets the minimum size of the response.
    #[must_use]
    pub const fn answer_bytes(mut self, answer_bytes: usize) -> Self {
        self.answer_bytes = answer_bytes;
        self
    }

    /// Sets the time until the deadline that is sent with the request.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

impl RequestSpec {
    /// Combines the request with the outcome that its caller observed.
    pub(crate) fn observed(
        &self,
        outcome: Outcome,
        code: u16,
        elapsed: Duration,
    ) -> ObservedRequest {
        ObservedRequest {
            request_id: self.request_id.clone(),
            key: self.key.clone(),
            idempotent: self.method == Method::GET,
            body: self.body.clone(),
            answer_bytes: self.answer_bytes,
            outcome,
            code,
            elapsed,
        }
    }
}

fn next_id() -> String {
    format!("r-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}
