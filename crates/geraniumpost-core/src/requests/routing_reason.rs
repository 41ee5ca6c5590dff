use derive_more::Display;

/// Reason why an agent was chosen.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum RoutingReason {
    /// The agent has the lowest cost of those drawn.
    #[display("cheapest")]
    Cheapest,
    /// No other agent could be drawn.
    #[display("only")]
    Only,
    /// The agent is ejected and a probe was due.
    #[display("probe")]
    Probe,
    /// No other agent remains, and an attempt at an ejected agent is better than a certain refusal.
    #[display("last-resort")]
    LastResort,
    /// The agent was chosen by a [`super::BaselineRouter`].
    #[display("baseline")]
    Baseline,
}
