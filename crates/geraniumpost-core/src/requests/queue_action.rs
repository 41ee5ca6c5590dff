use super::{QueuedRequest, Refusal};

/// Action that the agent must take on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueAction<T> {
    /// Run the request on the minion, then call [`super::FairQueue::finish`].
    Run(QueuedRequest<T>),
    /// Refuse the request, which does not run.
    Refuse {
        /// The refused request.
        request: QueuedRequest<T>,
        /// Reason for the refusal.
        refusal: Refusal,
        /// Delay after which the caller should retry, in milliseconds, at least 1.
        retry_after_ms: u64,
    },
}
