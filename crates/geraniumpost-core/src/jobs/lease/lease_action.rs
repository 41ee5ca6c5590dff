use super::{Takeover, TermRecord};

/// An action that a [`PlannerLease`](super::PlannerLease) requests from the shell.
///
/// At most one store call is open at a time, apart from revocations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the key that is attached to the current planner's lease.
    ReadAlive,
    /// Acquire a lease from the store.
    Grant {
        /// Time to live of the lease in milliseconds.
        ttl_ms: u64,
    },
    /// Create the alive key under the lease, if the key is absent.
    Claim {
        /// Store lease id.
        lease: u64,
        /// Value that identifies this process and the lease.
        value: Vec<u8>,
    },
    /// Read the term record.
    ReadTerm,
    /// Write the term record if it has the expected revision.
    WriteTerm {
        /// Expected revision, `None` if the record must be absent.
        expected: Option<u64>,
        /// Term record to be written.
        record: TermRecord,
    },
    /// Renew the lease.
    KeepAlive {
        /// Store lease id.
        lease: u64,
    },
    /// Revoke the lease; the result is ignored.
    Revoke {
        /// Store lease id.
        lease: u64,
    },
    /// This process is now the planner and must load the records.
    Acquired(Takeover),
    /// This process is no longer the planner. The shell drops the planner and stops granting agent
    /// leases. The text is the reason for the log.
    Lost(&'static str),
}
