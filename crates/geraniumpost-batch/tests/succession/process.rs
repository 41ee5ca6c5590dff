use std::collections::BTreeMap;

use geraniumpost_batch::TermTime;
use geraniumpost_batch::quorum::{Promises, Releases, Support, Voters};
use geraniumpost_batch::tuning::{STORE_CONFIRMATION_VALIDITY_MS, STORE_OUTAGE_TOLERANCE_MS};

/// State of a coordinator in one term.
#[derive(Debug)]
pub struct Term {
    pub number: u64,
    /// Time at which the last request that the store has confirmed was sent, on the process's
    /// clock.
    pub requested_ms: u64,
    /// Time at which the process took over, on its clock.
    pub took_over_ms: u64,
    pub support: Support,
    /// The voters that are being written, until the store has confirmed them.
    pub pending_voters: Option<Voters>,
    /// Number of writes of voters that have begun.
    pub voter_writes: u64,
    /// The releases of promises to the silent predecessors, by their terms.
    pub releases: BTreeMap<u64, Releases>,
    /// Time after which each silent predecessor extends no leases, by the predecessor's term, on
    /// this process's clock.
    pub extension_ends_ms: BTreeMap<u64, u64>,
}

impl Term {
    /// Returns the state of a coordinator that has just taken over; `voters` are those of its own
    /// term and of the terms of its silent predecessors.
    pub fn new(
        number: u64,
        requested_ms: u64,
        took_over_ms: u64,
        voters: &BTreeMap<u64, Voters>,
    ) -> Self {
        let own = voters.get(&number).cloned().unwrap_or_default();
        let silent = voters.iter().filter(|(term, _)| **term != number);
        let releases =
            silent.map(|(term, voters)| (*term, Releases::new(voters.clone()))).collect();
        Self {
            number,
            requested_ms,
            took_over_ms,
            support: Support::new(own, took_over_ms),
            pending_voters: None,
            voter_writes: 0,
            releases,
            extension_ends_ms: BTreeMap::new(),
        }
    }

    /// Returns whether leases may be extended without the store, on the support of a majority.
    pub fn is_supported(&self, now_ms: u64) -> bool {
        now_ms < self.requested_ms + STORE_OUTAGE_TOLERANCE_MS
            && now_ms < self.support.supported_until_ms()
    }

    /// Returns whether leases may be extended, on the support of a majority or a confirmation by
    /// the store.
    pub fn may_extend_leases(&self, now_ms: u64) -> bool {
        self.is_supported(now_ms) || now_ms < self.requested_ms + STORE_CONFIRMATION_VALIDITY_MS
    }

    /// Records the time at which each silent predecessor stops extending leases, once that time is
    /// known.
    pub fn record_extension_ends(&mut self) {
        for (term, releases) in &self.releases {
            if let Some(until_ms) = releases.support_end_ms() {
                let end_ms = until_ms.max(self.took_over_ms + STORE_CONFIRMATION_VALIDITY_MS);
                self.extension_ends_ms.entry(*term).or_insert(end_ms);
            }
        }
    }
}

/// The process of an entry; a restart replaces it by another incarnation.
#[derive(Debug)]
pub struct Process {
    pub incarnation: u64,
    /// Drift of the process's clock in thousandths; negative if the clock is slow.
    pub clock_drift: i64,
    /// Time until which the process is frozen, in milliseconds of real time.
    pub frozen_until_ms: u64,
    /// Time until which the process does not reach the store, in milliseconds of real time.
    pub store_cut_until_ms: u64,
    pub promises: Promises,
    /// The last pong that the process received: when the coordinator sent it, and when it arrived
    /// on the process's clock.
    pub last_pong: Option<(TermTime, u64)>,
    pub term: Option<Term>,
}

impl Process {
    pub fn new(clock_drift: i64) -> Self {
        Self {
            incarnation: 1,
            clock_drift,
            frozen_until_ms: 0,
            store_cut_until_ms: 0,
            promises: Promises::default(),
            last_pong: None,
            term: None,
        }
    }

    /// Converts a real time to a time on the process's clock.
    pub const fn clock_ms(&self, real_ms: u64) -> u64 {
        real_ms * 1_000_u64.saturating_add_signed(self.clock_drift) / 1_000
    }

    /// Replaces the process by a new process, which does not know the promises of the earlier
    /// process.
    pub fn restart(&mut self) {
        let (incarnation, clock_drift) = (self.incarnation + 1, self.clock_drift);
        *self = Self {
            incarnation,
            store_cut_until_ms: self.store_cut_until_ms,
            ..Self::new(clock_drift)
        };
    }
}
