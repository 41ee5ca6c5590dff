use derive_more::Display;

/// What a heartbeat told the [`super::Membership`].
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// An agent not known before, or dead until now.
    #[display("joined")]
    Joined,
    /// A known agent was started anew: what was sent to the old incarnation cannot be asked for.
    #[display("restarted was={was:x}")]
    Restarted {
        /// The incarnation that is gone.
        was: u64,
    },
    /// The agent began to leave.
    #[display("draining")]
    Draining,
    /// Something that routing uses changed, such as the slots.
    #[display("changed")]
    Changed,
    /// Nothing but the load, which the snapshot shares already.
    #[display("refreshed")]
    Refreshed,
    /// A late or repeated heartbeat, ignored.
    #[display("stale")]
    Stale,
}

impl MembershipChange {
    /// Whether a new snapshot must be published.
    pub const fn needs_snapshot(self) -> bool {
        !matches!(self, Self::Refreshed | Self::Stale)
    }
}
