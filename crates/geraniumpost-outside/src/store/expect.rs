/// Condition on a key under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The key does not exist.
    Absent,
    /// The last write of the key has this revision.
    Revision(u64),
}
