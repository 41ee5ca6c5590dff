use super::PastChange;

/// The final outcome of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was committed exactly once.
    Committed {
        /// Revision created by the change.
        revision: u64,
    },
    /// Other changes were committed first; this change is not in the store and never will be.
    Conflict {
        /// Revision in the store, which contains the other changes.
        revision: u64,
        /// The other changes, latest first.
        changes: Vec<PastChange>,
    },
    /// The store did not accept the change; it is not in the store and never will be.
    Unavailable,
    /// It is unknown whether the change is in the store. Repeating the change under the same id
    /// resolves this.
    Uncertain,
}
