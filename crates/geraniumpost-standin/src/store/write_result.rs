/// Result of a write or removal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The call took effect and created this revision.
    Done(u64),
    /// The condition did not hold; the key has this revision, or does not exist.
    Conflict(Option<u64>),
    /// The lease does not exist.
    NoLease,
}
