use std::net::SocketAddr;

use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// What lies under the coordinator's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorRecord {
    /// The entry that coordinates.
    pub node: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Random number of its process.
    pub incarnation: u64,
    /// Grows with each term.
    pub term: u64,
    /// Counts rewrites within a term, each of which bars all earlier writes.
    pub barrier: u64,
    /// Whether it has stepped down, so that the next one need not wait for anything.
    pub vacant: bool,
}

impl CoordinatorRecord {
    /// Returns the bytes for the store.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a record has no unsized parts")
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
