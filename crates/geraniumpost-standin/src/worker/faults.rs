use serde::{Deserialize, Serialize};

use crate::http::Down;

/// Faults of a worker; the default is none.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Whether and how it is out of service.
    pub down: Down,
    /// Wait before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Every task that is started fails at once.
    pub fail_starts: bool,
    /// Number of calls to come, other than reads, that take effect while their reply is lost.
    pub lose_replies: u64,
}
