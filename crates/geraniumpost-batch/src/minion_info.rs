use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::Demand;

/// What a minion says of itself in its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MinionInfo {
    /// Its incarnation; a new one after each crash.
    pub id: Name,
    /// The service whose tasks it runs.
    pub service: Name,
    /// Its failure domain.
    pub domain: Name,
    /// What it can hold.
    pub capacity: Demand,
    /// Its kind and its rack.
    pub labels: Vec<Name>,
    /// Whether it is leaving.
    pub draining: bool,
    /// How long a leaving minion stays at least, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Grows with each heartbeat of one incarnation.
    pub sequence: u64,
}
