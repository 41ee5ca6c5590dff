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
        /// Current revision.
        revision: u64,
        /// The other changes, latest first.
        changes: Vec<PastChange>,
    },
    /// The store did not accept the change; it is not in the store and never will be.
    Unavailable,
    /// It is unknown whether the change is in the store. A repetition under the same id finds out.
    Uncertain,
}
