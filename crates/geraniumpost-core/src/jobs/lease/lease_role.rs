use derive_more::Display;

/// What a process may do as planner at this instant.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum LeaseRole {
    /// It doesn't plan.
    #[display("follows")]
    Follower,
    /// It holds the lease: it may assign, start and grant holds.
    #[display("leads term {term}")]
    Leader {
        /// Its term.
        term: u64,
    },
    /// It is cut from the store: it may only keep running tasks going.
    #[display("cut from the store in term {term}")]
    Disconnected {
        /// Its term.
        term: u64,
    },
}

impl LeaseRole {
    /// Returns whether new work may be assigned and started.
    pub const fn may_assign(self) -> bool {
        matches!(self, Self::Leader { .. })
    }

    /// Returns whether holds may be granted to agents.
    pub const fn may_grant_leases(self) -> bool {
        !matches!(self, Self::Follower)
    }
}
