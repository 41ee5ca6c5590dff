use serde::{Deserialize, Serialize};

use super::MinionMode;
use crate::http::Down;

/// Faults of a minion; the default is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MinionFaults {
    /// Whether and how it is out of service.
    pub down: Down,
    /// Added to each request's service time, in milliseconds.
    pub delay_ms: u64,
    /// What it does with a request.
    pub mode: MinionMode,
    /// Chance in a thousand that a request is treated so; others are served.
    pub mode_permille: u32,
    /// Seed of that chance.
    pub seed: u64,
}

impl Default for MinionFaults {
    fn default() -> Self {
        let (down, mode) = (Down::No, MinionMode::Serve);
        Self { down, delay_ms: 0, mode, mode_permille: 1000, seed: 0 }
    }
}
