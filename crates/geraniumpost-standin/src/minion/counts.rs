use serde::{Deserialize, Serialize};

/// What a minion has seen.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionCounts {
    /// Runs begun.
    pub started: u64,
    /// Requests that run now.
    pub running: u64,
    /// Most requests that ran at once.
    pub most_running: u64,
    /// Runs that began while all slots were taken.
    pub over_slots: u64,
    /// Connections open now.
    pub connections: u64,
    /// Most connections open at once.
    pub most_connections: u64,
    /// Whether more connections than allowed were ever open at once.
    pub over_connections: bool,
}
