use serde::{Deserialize, Serialize};

use super::MinionMode;
use crate::http::Down;

/// Injected faults of a minion; none by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MinionFaults {
    /// Whether and in which way the minion is out of service.
    pub down: Down,
    /// Additional service time of each request, in milliseconds.
    pub delay_ms: u64,
    /// How the minion handles requests.
    pub mode: MinionMode,
    /// Probability in thousandths that `mode` applies to a request; the other requests are served.
    pub mode_permille: u32,
    /// Seed of the random choice of requests.
    pub seed: u64,
}

impl Default for MinionFaults {
    fn default() -> Self {
        let (down, mode) = (Down::No, MinionMode::Serve);
        Self { down, delay_ms: 0, mode, mode_permille: 1000, seed: 0 }
    }
}
