use serde::{Deserialize, Serialize};

use super::Direction;

/// Injected faults of a relay; none by default.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// Faults of data from the client.
    pub forward: Direction,
    /// Faults of data to the client.
    pub back: Direction,
    /// Whether `forward` and `back` only apply to connections that are already open.
    pub spare_new: bool,
    /// Whether new connections are closed immediately.
    pub refuse_new: bool,
    /// Bandwidth that all connections share for data to the client, in bytes per second; 0 for no
    /// limit.
    pub back_bytes_per_s: u64,
}
