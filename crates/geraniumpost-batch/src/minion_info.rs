use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::Demand;

/// Properties that a minion reports in its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MinionInfo {
    /// Name of the minion's incarnation; it changes with each restart.
    pub id: Name,
    /// Service whose tasks the minion runs; it gets no tasks of other services.
    pub service: Name,
    /// Failure domain of the minion's VM.
    pub domain: Name,
    /// Total resources, including those in use.
    pub capacity: Demand,
    /// Labels of the minion, among them its machine type; the last label is the minion's rack.
    pub labels: Vec<Name>,
    /// Whether the minion is draining and will terminate.
    pub draining: bool,
    /// Minimum time until a draining minion terminates, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Increases with each heartbeat of an incarnation; a report with a lower number is outdated.
    pub sequence: u64,
}
