use super::{Takeover, TermRecord};

/// An action that a [`PlannerLease`](super::PlannerLease) requests from the shell.
///
/// At most one store call is open at a time, apart from revocations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the key that is attached to the current planner's lease.
    ReadAlive,
    /// Create a lease in the store.
    Grant {
        /// Time to live of the lease in milliseconds.
        ttl_ms: u64,
    },
    /// Create the alive key under the lease, if the key is absent.
    Claim {
        /// Id that the store gave to the lease.
        lease: u64,
        /// Value that identifies this process and the lease.
        value: Vec<u8>,
    },
    /// Read the [`TermRecord`], under the key [`term_key`](super::term_key).
    ReadTerm,
    /// Write the term record if it has the expected revision.
    WriteTerm {
        /// Expected revision, `None` if the record must be absent.
        expected: Option<u64>,
        /// Record to be written, with an incremented number of writes.
        record: TermRecord,
    },
    /// Renew the store lease for its full time to live.
    KeepAlive {
        /// Id that the store gave to the lease.
        lease: u64,
    },
    /// Revoke the store lease, so that another process is elected sooner; the result is ignored.
    Revoke {
        /// Id that the store gave to the lease.
        lease: u64,
    },
    /// This process is now the planner and must load the records.
    Acquired(Takeover),
    /// This process is no longer the planner. The shell drops the planner and stops granting agent
    /// leases. The string is the reason, to be logged.
    Lost(&'static str),
}
