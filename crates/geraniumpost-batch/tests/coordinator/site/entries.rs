//! The entries of the site: who coordinates, who supports that one, and whom its successor asks.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use geraniumpost_batch::Now;
use geraniumpost_batch::quorum::{Promises, Releases, Support, Voters};
use geraniumpost_batch::tuning::STORE_CONFIRMATION_MS;
use geraniumpost_schema::Name;

/// Entries of the site.
const COUNT: usize = 5;
/// Pause between two questions to an entry that has not answered, in milliseconds.
const ASK_MS: u64 = 300;

/// One entry.
#[derive(Debug, Default)]
struct Entry {
    name: Name,
    incarnation: u64,
    promises: Promises,
    /// Until when nobody hears of it.
    away_ms: u64,
}

/// What a successor knows of the end of a silent coordinator.
#[derive(Debug)]
struct Asked {
    releases: Releases,
    /// When the successor took over.
    taken_ms: u64,
}

/// All entries.
#[derive(Debug)]
pub(super) struct Entries {
    all: Vec<Entry>,
    coordinator: usize,
    support: Support,
    ask_ms: u64,
    /// The voters of silent coordinators, by where those were.
    voters: BTreeMap<SocketAddr, Voters>,
    asked: BTreeMap<SocketAddr, Asked>,
}

impl Entries {
    pub(super) fn new(now: Now) -> Self {
        let entry = |number| Entry { name: format!("e{number}").into(), ..Entry::default() };
        let all: Vec<Entry> = (1..=COUNT).map(entry).collect();
        let others = all.iter().skip(1).map(|entry| (entry.name.clone(), entry.incarnation));
        let support = Support::new(others.collect(), now.steady_ms);
        let (voters, asked) = (BTreeMap::new(), BTreeMap::new());
        let now_ms = now.steady_ms;
        Self { all, coordinator: 0, support, ask_ms: now_ms, voters, asked }
    }

    /// Entries that are up promise support to the coordinator of a term. Returns until when a majority does.
    pub(super) fn support(&mut self, term: u64, now_ms: u64) -> u64 {
        for (number, entry) in self.all.iter_mut().enumerate() {
            let up = number != self.coordinator && entry.away_ms <= now_ms;
            if up && entry.promises.promise(term, now_ms) {
                self.support.record_promise(&entry.name, entry.incarnation, now_ms);
            }
        }
        self.support.supported_until_ms()
    }

    /// The coordinator names the entries that answer in its key, from time to time.
    pub(super) fn name_voters(&mut self, now_ms: u64) {
        if let Some(voters) = self.support.voters_to_write(now_ms) {
            self.support.begin_voter_change(voters, now_ms);
            self.support.complete_voter_change();
        }
    }

    /// The coordinator, or the entry that was about to take over, is away until a time; another process is
    /// there after it, unless it only stood still.
    pub(super) fn lose(&mut self, away_ms: u64, stands_still: bool) {
        let lost = &mut self.all[self.coordinator];
        lost.away_ms = away_ms;
        if !stands_still {
            lost.incarnation += 1;
            lost.promises = Promises::default();
        }
    }

    /// Chooses who takes over: the next entry that is up, if there is one.
    pub(super) fn elect(&mut self, now_ms: u64) -> bool {
        let from = self.coordinator;
        let mut next = (1..=COUNT).map(|step| (from + step) % COUNT);
        let up = next.find(|number| self.all[*number].away_ms <= now_ms);
        up.inspect(|number| self.coordinator = *number).is_some()
    }

    /// The entry that was elected takes over, and begins to ask who supports the silent coordinator at an
    /// address, and earlier ones.
    pub(super) fn take_over(&mut self, silent: Option<SocketAddr>, now_ms: u64) {
        let before = self.support.voters().clone();
        if let Some(address) = silent {
            self.voters.insert(address, before.clone());
        }
        let own = &self.all[self.coordinator].name;
        self.support = Support::new(before.without(own), now_ms);
        self.ask_ms = now_ms;
        let ask = |(address, voters): (&SocketAddr, &Voters)| {
            (*address, Asked { releases: Releases::new(voters.clone()), taken_ms: now_ms })
        };
        self.asked = self.voters.iter().map(ask).collect();
    }

    /// Asks those that have not answered the coordinator of a term. Returns the silent coordinators whose end
    /// is known, and when it is.
    pub(super) fn ask(&mut self, term: u64, now_ms: u64) -> Vec<(SocketAddr, u64)> {
        if now_ms < self.ask_ms {
            return Vec::new();
        }
        self.ask_ms = now_ms + ASK_MS;
        let up = self.all.iter_mut().filter(|entry| entry.away_ms <= now_ms);
        for entry in up {
            let lasts_ms = entry.promises.release(term, now_ms);
            for asked in self.asked.values_mut() {
                asked.releases.record(&entry.name, entry.incarnation, lasts_ms, now_ms);
            }
        }
        let end = |asked: &Asked| {
            asked.releases.support_end_ms().map(|ms| ms.max(asked.taken_ms + STORE_CONFIRMATION_MS))
        };
        self.asked.iter().filter_map(|(at, asked)| Some((*at, end(asked)?))).collect()
    }
}
