use derive_more::Display;

/// How a minion came to terminate, as far as the coordinator knows.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub(super) enum TerminationCause {
    /// The minion had announced its termination.
    #[display("planned")]
    Planned,
    /// The minion's agent, which outlived it, reports that it had announced nothing.
    #[display("crashed")]
    Crashed,
    /// Only the next incarnation is known: the agent may have been lost together with the minion,
    /// as in a loss of power.
    #[display("unknown")]
    Unknown,
}
