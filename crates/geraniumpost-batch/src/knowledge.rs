use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::InterferencePair;

/// What a coordinator has learnt of images, for its successor.
///
/// It takes seconds to learn which images disturb which, and until then users of serving tasks wait
/// while what fills beside them is slowed down by guesses. A rolling restart changes the coordinator
/// every few seconds, so it would hardly ever know. Losing this costs nothing but that time.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct InterferenceSnapshot {
    /// How much filling images slow serving ones.
    pub pairs: Vec<InterferencePair>,
    /// The lowest tail of each serving image, in bounds.
    pub idle_tails: Vec<(Name, f64)>,
}

impl InterferenceSnapshot {
    /// Returns the bytes for the store.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads the store's bytes.
    ///
    /// # Errors
    ///
    /// Fails on bytes of another layout.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
