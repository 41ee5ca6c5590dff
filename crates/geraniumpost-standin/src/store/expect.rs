/// Condition on the key of a write or removal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The key must not exist.
    Absent,
    /// The key must have this revision.
    Revision(u64),
}

impl Expect {
    /// Returns whether the condition holds for the present revision of the key, `None` if the key
    /// does not exist.
    pub fn holds(self, current: Option<u64>) -> bool {
        match self {
            Self::Absent => current.is_none(),
            Self::Revision(revision) => current == Some(revision),
        }
    }
}
