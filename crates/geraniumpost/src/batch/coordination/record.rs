use std::collections::BTreeMap;
use std::net::SocketAddr;

use geraniumpost_batch::PredecessorLeases;
use geraniumpost_batch::quorum::Voters;
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// What earlier versions leave out at the end of their records, as it is encoded empty: the voters, and an
/// [`PredecessorLeases`] before them.
const OMITTED_TAILS: [&[u8]; 3] = [&[], &[0], &[0, 0, 0]];

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
    pub stepped_down: bool,
    /// Whose leases may last for how long, counted from the writing of this record.
    pub predecessor_leases: PredecessorLeases,
    /// The voters of this term, and of those of the silent coordinators that the inheritance names.
    pub voters: BTreeMap<u64, Voters>,
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
        let decode = |omitted: &&[u8]| postcard::from_bytes(&[bytes, omitted].concat());
        let mut attempts = OMITTED_TAILS.iter().map(decode);
        attempts.find(Result::is_ok).unwrap_or_else(|| postcard::from_bytes(bytes))
    }

    /// Returns the voters of a term.
    pub fn voters_of(&self, term: u64) -> Voters {
        self.voters.get(&term).cloned().unwrap_or_default()
    }

    /// Forgets the voters of terms that are over: nobody waits for them any more.
    pub fn prune_voters(&mut self) {
        let silent = |term: &u64| self.predecessor_leases.silent.values().any(|s| s.term == *term);
        let own = self.term;
        self.voters.retain(|term, _| *term == own || silent(term));
    }
}
