use super::Versioned;

/// What a watch has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watched {
    /// Nothing changed during the wait.
    Unchanged,
    /// The key was written.
    Written(Versioned),
    /// The key was removed.
    Removed {
        /// Revision of the removal.
        revision: u64,
    },
}
