use geraniumpost_schema::RequestId;

/// Whether an idempotency key has been used on an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyStatus {
    /// The key has certainly never been used on this agent.
    New,
    /// This attempt runs, has run or was barred for the key.
    First(RequestId),
    /// The key has been used, and its attempt is no longer recorded.
    Expired,
    /// The key is unknown but may have been used, because older keys have been dropped.
    PossiblyForgotten,
}
