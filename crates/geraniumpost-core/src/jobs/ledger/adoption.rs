use crate::Millis;

/// Progress of a restarted agent in adopting the tasks that its worker runs.
///
/// Until the adoption is complete the ledger does not know what the VM runs. It accepts no start
/// and sends no inventory, because a task missing from the inventory would be started on another VM
/// while it still runs here. Two lists are read with an interval between them, because a start sent
/// by the agent's previous process may still be in transit to the worker when the first list is
/// read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Adoption {
    /// No list has been received.
    NotStarted,
    /// The first list has been received. The value is the instant at which it was requested.
    Listed(Millis),
    /// The ledger knows every task of the worker.
    Complete,
}

impl Adoption {
    /// Returns the state after a list that was requested at `requested_at`.
    pub(super) fn after_list(self, requested_at: Millis, settle_ms: u64) -> Self {
        match self {
            Self::NotStarted => Self::Listed(requested_at),
            Self::Listed(first) if requested_at < first.plus(settle_ms) => self,
            Self::Listed(_) | Self::Complete => Self::Complete,
        }
    }
}
