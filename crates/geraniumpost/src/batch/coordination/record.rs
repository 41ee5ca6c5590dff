use std::collections::BTreeMap;
use std::net::SocketAddr;

use geraniumpost_batch::PredecessorLeases;
use geraniumpost_batch::quorum::Voters;
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// Encodings of the empty fields that earlier versions omit at the end of a record: none, the
/// voters, or the voters and the [`PredecessorLeases`] before them.
const OMITTED_TRAILING_FIELDS: [&[u8]; 3] = [&[], &[0], &[0, 0, 0]];

/// The value under the coordinator's key in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorRecord {
    /// Name of the entry that coordinates.
    pub node: Name,
    /// Address on which the coordinator accepts links of agents and entries.
    pub address: SocketAddr,
    /// Random number that identifies the coordinator's process.
    pub incarnation: u64,
    /// Number of the term, which is also the fencing token. It increases with each term.
    pub term: u64,
    /// Number of rewrites within the term. Each changes the key's revision, so that the store
    /// rejects earlier writes, which require the old revision.
    pub barrier: u64,
    /// Whether the coordinator has stepped down, so that a successor can take over at once.
    pub stepped_down: bool,
    /// Leases that earlier coordinators may have extended, with remaining times counted from the
    /// writing of this record.
    pub predecessor_leases: PredecessorLeases,
    /// Voters by term: of this term, and of the terms of the silent coordinators in
    /// `predecessor_leases`.
    pub voters: BTreeMap<u64, Voters>,
}

impl CoordinatorRecord {
    /// Returns the value to be stored under the coordinator's key.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every field can be encoded")
    }

    /// Decodes a record of this version or an earlier one.
    ///
    /// # Errors
    ///
    /// Fails if the bytes match none of the layouts.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let decode = |omitted: &&[u8]| postcard::from_bytes(&[bytes, omitted].concat());
        let mut attempts = OMITTED_TRAILING_FIELDS.iter().map(decode);
        attempts.find(Result::is_ok).unwrap_or_else(|| postcard::from_bytes(bytes))
    }

    /// Returns the voters of a term; empty if the record does not name any.
    pub fn voters_of(&self, term: u64) -> Voters {
        self.voters.get(&term).cloned().unwrap_or_default()
    }

    /// Removes the voters of terms that have ended: all but this term and those of silent
    /// coordinators.
    pub fn prune_voters(&mut self) {
        let silent = |term: &u64| self.predecessor_leases.silent.values().any(|s| s.term == *term);
        let own_term = self.term;
        self.voters.retain(|term, _| *term == own_term || silent(term));
    }
}
