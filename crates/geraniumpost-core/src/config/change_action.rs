use super::{ChangeOutcome, StoredDocument};

/// The next step of a [`ChangeProtocol`](super::ChangeProtocol), performed by the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeAction {
    /// Read the value of the configuration key and its revision.
    Read,
    /// Write the value if the key still has the revision `expected`, where 0 means that it does not
    /// exist.
    Write {
        /// Revision that the write replaces.
        expected: u64,
        /// Changed document with the list of changes.
        value: StoredDocument,
    },
    /// Report the outcome to the operator; the protocol has ended.
    Done(ChangeOutcome),
}
