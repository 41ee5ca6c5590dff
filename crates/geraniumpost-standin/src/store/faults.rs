use serde::{Deserialize, Serialize};

use crate::http::Down;

/// Injected faults of the key-value service; none by default.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether and in which way the service is out of service.
    pub down: Down,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Number of following writes that take effect and whose reply is lost.
    pub lose_replies: u64,
    /// Probability that the reply to a write is lost, in thousandths.
    pub lose_permille: u32,
    /// Seed of the random losses.
    pub seed: u64,
    /// Limit on calls that change the data, per second; 0 for no limit.
    pub writes_per_second: u64,
    /// Limit on reads and watches, per second; 0 for no limit.
    pub reads_per_second: u64,
}
