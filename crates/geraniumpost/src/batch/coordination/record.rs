use std::collections::BTreeMap;
use std::net::SocketAddr;

use geraniumpost_batch::PredecessorLeases;
use geraniumpost_batch::quorum::Voters;
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// Encodings of the fields that earlier versions omit at the end of a record, as empty values: no
/// field, the voters, or both the [`PredecessorLeases`] and the voters.
const OMITTED_TRAILING_FIELDS: [&[u8]; 3] = [&[], &[0], &[0, 0, 0]];

/// The record of the current coordinator, stored under [`COORDINATOR_KEY`](super::COORDINATOR_KEY).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorRecord {
    /// Name of the entry that coordinates.
    pub node: Name,
    /// Address on which the coordinator accepts links of agents and entries.
    pub address: SocketAddr,
    /// Random number that identifies the coordinator's process.
    pub incarnation: u64,
    /// Number of the term, which is also the fencing token. Each term has a higher number than all
    /// earlier terms.
    pub term: u64,
    /// Number of rewrites within the term. Each rewrite changes the key's revision; the store then
    /// rejects earlier writes, which require the old revision.
    pub barrier: u64,
    /// Whether the coordinator has stepped down. If so, a successor may take over at once.
    pub stepped_down: bool,
    /// Leases that earlier coordinators may have extended, with remaining times counted from the
    /// writing of this record.
    pub predecessor_leases: PredecessorLeases,
    /// Voters of this term and of the silent coordinators' terms in `predecessor_leases`, by term.
    pub voters: BTreeMap<u64, Voters>,
}

impl CoordinatorRecord {
    /// Returns the value to be stored under the coordinator's key.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every field can be encoded")
    }

    /// Decodes a record that was written by this version of the software or an earlier version.
    ///
    /// # Errors
    ///
    /// Fails if the bytes match none of the layouts.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let decode = |omitted: &&[u8]| postcard::from_bytes(&[bytes, omitted].concat());
        let mut attempts = OMITTED_TRAILING_FIELDS.iter().map(decode);
        attempts.find(Result::is_ok).unwrap_or_else(|| postcard::from_bytes(bytes))
    }

    /// Returns the voters of a term; empty if the record has no voters of that term.
    pub fn voters_of(&self, term: u64) -> Voters {
        self.voters.get(&term).cloned().unwrap_or_default()
    }

    /// Removes the voters of ended terms, that is of all terms except this one and those of silent
    /// coordinators.
    pub fn prune_voters(&mut self) {
        let silent = |term: &u64| self.predecessor_leases.silent.values().any(|s| s.term == *term);
        let own_term = self.term;
        self.voters.retain(|term, _| *term == own_term || silent(term));
    }
}
