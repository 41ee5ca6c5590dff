/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The key does not exist.
    Absent,
    /// The key's last write has this revision.
    Revision(u64),
}
