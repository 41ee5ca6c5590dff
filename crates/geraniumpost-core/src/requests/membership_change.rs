use derive_more::Display;

/// Change to the [`super::Membership`] caused by a heartbeat. `Display` gives the text for the log.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// The agent was unknown, or the same incarnation had failed, and is now live.
    #[display("joined")]
    Joined,
    /// Another incarnation of a known agent superseded the current one, whose attempts can no
    /// longer be queried.
    #[display("restarted previous={previous:x}")]
    Restarted {
        /// The incarnation that was superseded.
        previous: u64,
    },
    /// The agent began to drain.
    #[display("draining")]
    Draining,
    /// A property that routing uses changed, such as the number of slots of the minion.
    #[display("changed")]
    Changed,
    /// Only the load changed, which existing snapshots see through the shared
    /// [`super::AgentCounters`].
    #[display("refreshed")]
    Refreshed,
    /// The heartbeat was delayed or repeated, and was ignored.
    #[display("stale")]
    Stale,
}

impl MembershipChange {
    /// Whether a new snapshot must be published.
    pub const fn needs_snapshot(self) -> bool {
        !matches!(self, Self::Refreshed | Self::Stale)
    }
}
