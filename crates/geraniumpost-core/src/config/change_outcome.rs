use super::PastChange;

/// What became of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is in the store, exactly once.
    Committed {
        /// Revision that it became.
        revision: u64,
    },
    /// Others changed the document first; this change is not and will not be in the store.
    Conflict {
        /// Revision that stands now.
        revision: u64,
        /// What the others changed, the latest first.
        changes: Vec<PastChange>,
    },
    /// The store did not take the change; it is not and will not be in the store.
    Unavailable,
    /// Whether the change is in the store is not known; a repeat under the same id will tell.
    Uncertain,
}
