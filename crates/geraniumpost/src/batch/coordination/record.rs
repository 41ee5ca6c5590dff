use std::net::SocketAddr;

use geraniumpost_batch::Inheritance;
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// An empty [`Inheritance`] as it is encoded: no silent coordinators, no unreached agents.
const NOTHING_LEFT: [u8; 2] = [0, 0];

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
    /// Whether it has stepped down, so that the next one need not look for it first.
    pub vacant: bool,
    /// Whose leases may last for how long, counted from the writing of this record.
    pub inheritance: Inheritance,
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
        postcard::from_bytes(bytes).or_else(|_| {
            // A version that leaves nothing behind ends its record before that.
            postcard::from_bytes(&[bytes, &NOTHING_LEFT].concat())
        })
    }
}
