use serde::{Deserialize, Serialize};

use crate::http::Down;

/// Faults of the key-value service; the default is none.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether and how it is out of service.
    pub down: Down,
    /// Wait before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes to come that take effect while their reply is lost.
    pub lose_replies: u64,
    /// Chance in a thousand that a write's reply is lost.
    pub lose_permille: u32,
    /// Seed of that chance.
    pub seed: u64,
    /// Most calls that change something per second; 0 is no limit.
    pub writes_per_second: u64,
    /// Most reads and watches per second; 0 is no limit.
    pub reads_per_second: u64,
}
