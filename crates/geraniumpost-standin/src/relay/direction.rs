use serde::{Deserialize, Serialize};

/// Faults of one direction of a relay.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Direction {
    /// Swallows what comes, without closing anything.
    pub stall: bool,
    /// Wait before each piece is passed on, in milliseconds.
    pub delay_ms: u64,
}
