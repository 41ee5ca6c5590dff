use serde::{Deserialize, Serialize};

use crate::http::Down;

/// Injected faults of a worker; none by default.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Whether and in which way the worker is out of service.
    pub down: Down,
    /// Delay before each call takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Whether each task fails immediately after its start.
    pub fail_starts: bool,
    /// Number of following calls, except reads, that take effect and whose reply is lost.
    pub lose_replies: u64,
}
