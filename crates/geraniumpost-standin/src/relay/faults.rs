use serde::{Deserialize, Serialize};

use super::Direction;

/// Faults of a relay; the default is none.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// From the side that connects.
    pub forward: Direction,
    /// Towards the side that connects.
    pub back: Direction,
    /// Applies the directions' faults only to connections that are already open.
    pub spare_new: bool,
    /// Closes new connections at once.
    pub refuse_new: bool,
    /// Bytes a second that all connections together may pass towards the side that connects, as over
    /// a link that they share; 0 for no bound.
    pub back_bytes_per_s: u64,
}
