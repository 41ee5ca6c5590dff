use super::{ChangeOutcome, StoredDocument};

/// The next step of a [`ChangeProtocol`](super::ChangeProtocol), to be done by the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeAction {
    /// Read the stored value.
    Read,
    /// Write the value if the key still has the revision `expected`, where 0 means that it does not
    /// exist.
    Write {
        /// Revision that is replaced.
        expected: u64,
        /// New value of the key.
        value: StoredDocument,
    },
    /// Report the outcome to the operator; the protocol has ended.
    Done(ChangeOutcome),
}
