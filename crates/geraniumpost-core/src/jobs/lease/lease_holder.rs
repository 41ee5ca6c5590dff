use derive_more::{Constructor, Display};
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// One process that plans or has planned.
#[derive(Debug, Display, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Constructor)]
#[display("{name}#{incarnation}")]
pub struct LeaseHolder {
    /// Name of the entry.
    pub name: Name,
    /// Random number drawn at the entry's start.
    pub incarnation: u64,
}
