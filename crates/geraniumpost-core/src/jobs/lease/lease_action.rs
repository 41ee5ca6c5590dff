use super::{Takeover, TermRecord};

/// What a [`PlannerLease`](super::PlannerLease) asks the shell to do.
///
/// At most one store call is open at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the alive key.
    ReadAlive,
    /// Take a store lease.
    Grant {
        /// Its time to live in milliseconds.
        ttl_ms: u64,
    },
    /// Write the alive key under the lease, if it is absent.
    Claim {
        /// The lease.
        lease: u64,
        /// The value.
        value: Vec<u8>,
    },
    /// Read the term record.
    ReadTerm,
    /// Write the term record, if it still has the expected revision.
    WriteTerm {
        /// Revision it must have, none if it must be absent.
        expected: Option<u64>,
        /// The record.
        record: TermRecord,
    },
    /// Extend the lease.
    KeepAlive {
        /// The lease.
        lease: u64,
    },
    /// Give the lease back, without waiting for the answer.
    Revoke {
        /// The lease.
        lease: u64,
    },
    /// This process now plans: load the records.
    Acquired(Takeover),
    /// This process no longer plans: drop the planner and stop granting holds.
    Lost(&'static str),
}
