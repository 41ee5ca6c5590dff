use super::{QueuedRequest, Refusal};

/// Action on a request that the [`super::FairQueue`] requires of the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueAction<T> {
    /// Run the request on the minion, then call [`super::FairQueue::finish`].
    Run(QueuedRequest<T>),
    /// Refuse the request, which does not run.
    Refuse {
        /// The request, whose payload the agent needs to reply.
        request: QueuedRequest<T>,
        /// Reason for the refusal, which determines the outcome reported to the entry.
        refusal: Refusal,
        /// Delay after which the caller should retry, in milliseconds, at least 1.
        retry_after_ms: u64,
    },
}
