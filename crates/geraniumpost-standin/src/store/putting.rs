/// What became of a write or removal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Putting {
    /// It took effect at this revision.
    Done(u64),
    /// The key stood at another revision, or did not exist.
    Conflict(Option<u64>),
    /// The lease it named does not exist.
    NoLease,
}
