use super::{QueuedRequest, Refusal};

/// What the shell must do with a request now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueAction<T> {
    /// Run it on the minion, then call [`super::FairQueue::finish`].
    Run(QueuedRequest<T>),
    /// Answer it: it does not run.
    Refuse {
        /// The request.
        request: QueuedRequest<T>,
        /// Why it does not run.
        refusal: Refusal,
        /// When the caller should come back, in milliseconds, at least 1.
        retry_after_ms: u64,
    },
}
