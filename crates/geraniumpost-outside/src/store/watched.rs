use super::Versioned;

/// Result of a watch on one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watched {
    /// The key did not change during the wait.
    Unchanged,
    /// The key was written.
    Written(Versioned),
    /// The key was removed.
    Removed {
        /// Revision of the removal.
        revision: u64,
    },
}
