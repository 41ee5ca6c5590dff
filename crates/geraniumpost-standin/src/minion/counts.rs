use serde::{Deserialize, Serialize};

/// Numbers of runs and connections of a minion.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionCounts {
    /// Runs that were started.
    pub started: u64,
    /// Runs in progress.
    pub running: u64,
    /// Highest number of concurrent runs.
    pub most_running: u64,
    /// Runs that were started while all slots were occupied.
    pub over_slots: u64,
    /// Open connections.
    pub connections: u64,
    /// Highest number of connections open at the same time.
    pub most_connections: u64,
    /// Whether the number of open connections has ever exceeded the limit.
    pub over_connections: bool,
}
