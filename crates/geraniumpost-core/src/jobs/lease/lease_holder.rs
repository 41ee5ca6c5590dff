use derive_more::{Constructor, Display};
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// A process that is or was the planner of a region.
#[derive(Debug, Display, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Constructor)]
#[display("{name}#{incarnation}")]
pub struct LeaseHolder {
    /// Name of the entry, which remains the same after a restart.
    pub name: Name,
    /// Random number that identifies one process of the entry, drawn at its start.
    pub incarnation: u64,
}
