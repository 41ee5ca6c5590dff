use derive_more::Display;

/// Reason why an agent was chosen.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum RoutingReason {
    /// The agent has the lowest cost of at least two candidates.
    #[display("cheapest")]
    Cheapest,
    /// The agent is the only candidate.
    #[display("only")]
    Only,
    /// The agent is ejected and a probe was due.
    #[display("probe")]
    Probe,
    /// The agent is ejected, but no other agent remains, and an attempt is better than a certain
    /// refusal.
    #[display("last-resort")]
    LastResort,
    /// The agent was chosen by a [`super::BaselineRouter`].
    #[display("baseline")]
    Baseline,
}
