use std::collections::BTreeMap;

use geraniumpost_batch::TermTime;
use geraniumpost_batch::quorum::{Promises, Releases, Support, Voters};
use geraniumpost_batch::tuning::{STORE_CONFIRMATION_MS, STORE_OUTAGE_TOLERANCE_MS};

/// What a coordinator knows in one term.
#[derive(Debug)]
pub struct Term {
    pub number: u64,
    /// When the store was last asked by a question that it has answered, on the own clock.
    pub asked_ms: u64,
    pub taken_ms: u64,
    pub support: Support,
    /// The list of voters that is being written, until the store has confirmed it, and the number of lists.
    pub naming: Option<Voters>,
    pub lists: u64,
    /// The silent coordinators before it: by term, who has released them.
    pub releases: BTreeMap<u64, Releases>,
    /// When each of them extends no lease any more, on the own clock.
    pub ends_ms: BTreeMap<u64, u64>,
}

impl Term {
    /// Returns what a coordinator knows that has taken over from silent ones.
    pub fn new(number: u64, asked_ms: u64, taken_ms: u64, before: &BTreeMap<u64, Voters>) -> Self {
        let own = before.get(&number).cloned().unwrap_or_default();
        let silent = before.iter().filter(|(term, _)| **term != number);
        let releases =
            silent.map(|(term, voters)| (*term, Releases::new(voters.clone()))).collect();
        Self {
            number,
            asked_ms,
            taken_ms,
            support: Support::new(own, taken_ms),
            naming: None,
            lists: 0,
            releases,
            ends_ms: BTreeMap::new(),
        }
    }

    /// Returns whether leases may be extended without the store's word, as a majority supports the term.
    pub fn is_supported(&self, now_ms: u64) -> bool {
        now_ms < self.asked_ms + STORE_OUTAGE_TOLERANCE_MS
            && now_ms < self.support.supported_until_ms()
    }

    /// Returns whether leases may be extended.
    pub fn extends(&self, now_ms: u64) -> bool {
        self.is_supported(now_ms) || now_ms < self.asked_ms + STORE_CONFIRMATION_MS
    }

    /// Takes note of the ends that are known by now.
    pub fn note_ends(&mut self) {
        for (term, releases) in &self.releases {
            if let Some(until_ms) = releases.support_end_ms() {
                let end_ms = until_ms.max(self.taken_ms + STORE_CONFIRMATION_MS);
                self.ends_ms.entry(*term).or_insert(end_ms);
            }
        }
    }
}

/// One entry.
#[derive(Debug)]
pub struct Process {
    pub incarnation: u64,
    /// Thousandths by which its clock is fast.
    pub fast: i64,
    /// Until when it stands still, in real time.
    pub frozen_ms: u64,
    /// Until when it does not reach the store, in real time.
    pub store_cut_ms: u64,
    pub promises: Promises,
    /// When the coordinator sent its last pong, and when that was heard on the own clock.
    pub heard: Option<(TermTime, u64)>,
    pub term: Option<Term>,
}

impl Process {
    pub fn new(fast: i64) -> Self {
        Self {
            incarnation: 1,
            fast,
            frozen_ms: 0,
            store_cut_ms: 0,
            promises: Promises::default(),
            heard: None,
            term: None,
        }
    }

    /// Returns the own clock's time.
    pub const fn clock(&self, real_ms: u64) -> u64 {
        real_ms * 1_000_u64.saturating_add_signed(self.fast) / 1_000
    }

    /// Another process takes its place.
    pub fn restart(&mut self) {
        let (incarnation, fast) = (self.incarnation + 1, self.fast);
        *self = Self { incarnation, store_cut_ms: self.store_cut_ms, ..Self::new(fast) };
    }
}
