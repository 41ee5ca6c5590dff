use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::Demand;

/// Properties that a minion reports in its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MinionInfo {
    /// Its incarnation; it changes with each restart.
    pub id: Name,
    /// The service whose tasks it runs.
    pub service: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its total resources.
    pub capacity: Demand,
    /// Its labels, among them its machine type and its rack.
    pub labels: Vec<Name>,
    /// Whether the minion is draining and will terminate.
    pub draining: bool,
    /// Least time until a draining minion terminates, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Increases with each heartbeat of an incarnation.
    pub sequence: u64,
}
