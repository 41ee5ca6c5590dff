use crate::Millis;

/// How far a restarted agent has come in taking over what its worker runs.
///
/// Before the end of it the ledger doesn't know what the VM holds: it takes no start, and gives no
/// inventory, because a task missing from that would be started elsewhere while it runs here. Two
/// lists are read, some time apart, because a start sent by the agent's previous process may still
/// be on its way to the worker when the first is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Adoption {
    /// No list has been read.
    Blank,
    /// One list, asked for at this time, has been read.
    Listed(Millis),
    /// The ledger knows all that runs.
    Complete,
}

impl Adoption {
    /// Returns the state after a list asked for at `asked`.
    pub(super) fn after_list(self, asked: Millis, settle_ms: u64) -> Self {
        match self {
            Self::Blank => Self::Listed(asked),
            Self::Listed(first) if asked < first.plus(settle_ms) => self,
            Self::Listed(_) | Self::Complete => Self::Complete,
        }
    }
}
