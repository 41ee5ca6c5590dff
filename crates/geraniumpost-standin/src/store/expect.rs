/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The key must not exist.
    Absent,
    /// The key must stand at this revision.
    Revision(u64),
}

impl Expect {
    /// Tells whether a key at `current` satisfies the condition.
    pub fn holds(self, current: Option<u64>) -> bool {
        match self {
            Self::Absent => current.is_none(),
            Self::Revision(revision) => current == Some(revision),
        }
    }
}
