use geraniumpost_schema::RequestId;

/// Whether an idempotency key has been used on an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyStatus {
    /// The key has certainly never been used on this incarnation of the agent.
    New,
    /// The key has been used or barred, and this is the first attempt with it.
    First(RequestId),
    /// The key has been used or barred, and only its digest is kept.
    Expired,
    /// The key is unknown but may have been used, because older keys have been dropped.
    PossiblyForgotten,
}
