use derive_more::{Display, Error};

/// Reason why no agent could be chosen.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum NoAgent {
    /// No live, connected agent of the service accepts work.
    #[display("no agent of the service accepts work")]
    NoneReady,
    /// Every agent that accepts work has been tried.
    #[display("all agents of the service were tried")]
    AllTried,
}
