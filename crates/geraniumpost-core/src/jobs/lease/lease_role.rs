use derive_more::Display;

/// What a process may do as planner at an instant.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum LeaseRole {
    /// The process is not the planner.
    #[display("follower")]
    Follower,
    /// The process holds the store lease. It may assign and start jobs and grant agent leases.
    #[display("leader of term {term}")]
    Leader {
        /// Term under which this process sends orders.
        term: u64,
    },
    /// The process cannot renew its store lease. It may only extend agent leases, so that running
    /// tasks continue.
    #[display("disconnected from the store in term {term}")]
    Disconnected {
        /// Term under which this process sends orders.
        term: u64,
    },
}

impl LeaseRole {
    /// Returns whether jobs may be assigned and started.
    pub const fn may_assign(self) -> bool {
        matches!(self, Self::Leader { .. })
    }

    /// Returns whether agent leases may be granted.
    pub const fn may_grant_leases(self) -> bool {
        !matches!(self, Self::Follower)
    }
}
