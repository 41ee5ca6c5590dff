use serde::{Deserialize, Serialize};

/// Faults of one direction of a relay.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Direction {
    /// Discards all data without closing the connection.
    pub stall: bool,
    /// Delay before data is forwarded, in milliseconds.
    pub delay_ms: u64,
}
