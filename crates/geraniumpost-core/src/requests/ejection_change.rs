use derive_more::Display;

use crate::Millis;

/// What an attempt's result changed about an agent's ejection; its `Display` is for the log.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum EjectionChange {
    /// Nothing; no new snapshot is needed.
    #[display("unchanged")]
    None,
    /// The agent gets no ordinary work any more.
    #[display("ejected probe_at={probe_at}ms ejections={ejections}")]
    Ejected {
        /// When the agent is probed.
        probe_at: Millis,
        /// Ejections in a row, by which the pause grows.
        ejections: u32,
    },
    /// The agent passed its probe and gets ordinary work again.
    #[display("restored")]
    Restored,
    /// The agent should go, but too many of its service are gone already; said once until it
    /// succeeds or goes.
    #[display("kept because too many agents are ejected")]
    Capped,
}
