use derive_more::{Display, Error};

/// Reason why routing found no agent for a request.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum NoAgent {
    /// No live, connected agent of the service accepts work.
    #[display("no agent of the service accepts work")]
    NoneReady,
    /// Every agent that accepts work has been tried for this request, or has been ejected since the
    /// snapshot was made.
    #[display("all agents of the service were tried")]
    AllTried,
}
