use super::{ChangeOutcome, StoredDocument};

/// What the shell has to do next for a change.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeAction {
    /// Read the stored value.
    Read,
    /// Write the value if the key still stands at `expected`, 0 meaning that it does not exist.
    Write {
        /// Revision to be replaced.
        expected: u64,
        /// The new value.
        value: StoredDocument,
    },
    /// Answer the operator; nothing more is to be done.
    Done(ChangeOutcome),
}
