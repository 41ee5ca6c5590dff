use derive_more::Display;

/// Why an agent was chosen.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum RoutingReason {
    /// It was the cheapest of those drawn.
    #[display("cheapest")]
    Cheapest,
    /// No other agent could be drawn.
    #[display("only")]
    Only,
    /// It was ejected and a probe was due.
    #[display("probe")]
    Probe,
    /// All others are gone, and an ejected agent is better than a certain refusal.
    #[display("last-resort")]
    LastResort,
    /// A naive policy took it, in benches.
    #[display("baseline")]
    Baseline,
}
