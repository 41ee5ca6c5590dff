use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::InterferencePair;

/// Interference between images that a coordinator has learned, stored for its successor.
///
/// A coordinator needs seconds to learn which images slow down which others. Until then it
/// throttles best-effort tasks by default assumptions, and users of the serving tasks on the same
/// minions see high latency. Without the snapshot, a rolling restart, which changes the coordinator
/// every few seconds, would lose this knowledge each time. The loss of a snapshot costs only the
/// time to learn the interference again.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct InterferenceSnapshot {
    /// How much best-effort images slow down serving images.
    pub pairs: Vec<InterferencePair>,
    /// Lowest tail latency of each serving image, as a multiple of its bound.
    pub idle_tail_latency_ratios: Vec<(Name, f64)>,
}

impl InterferenceSnapshot {
    /// Encodes the snapshot for the store. The result is empty if that fails.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a snapshot from the store.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
