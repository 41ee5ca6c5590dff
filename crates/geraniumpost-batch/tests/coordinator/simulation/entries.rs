//! The entries of the site: who coordinates, who supports that one, and whom its successor asks.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use geraniumpost_batch::Now;
use geraniumpost_batch::quorum::{Promises, Releases, Support, Voters};
use geraniumpost_batch::tuning::STORE_CONFIRMS_MS;
use geraniumpost_schema::Name;

/// Entries of the site.
const ENTRIES: usize = 5;
/// Pause between two questions to an entry that has not answered, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 300;

/// One entry.
#[derive(Debug, Default)]
struct Entry {
    name: Name,
    incarnation: u64,
    promises: Promises,
    /// Until when nobody hears of it.
    unavailable_until_ms: u64,
}

/// What a successor knows of the end of a silent coordinator.
#[derive(Debug)]
struct PredecessorQuery {
    releases: Releases,
    /// When the successor took over.
    taken_over_ms: u64,
}

/// All entries.
#[derive(Debug)]
pub(super) struct Entries {
    all: Vec<Entry>,
    coordinator: usize,
    support: Support,
    next_query_ms: u64,
    /// The voters of silent coordinators, by where those were.
    voters: BTreeMap<SocketAddr, Voters>,
    queries: BTreeMap<SocketAddr, PredecessorQuery>,
}

impl Entries {
    pub(super) fn new(now: Now) -> Self {
        let entry = |number| Entry { name: format!("e{number}").into(), ..Entry::default() };
        let all: Vec<Entry> = (1..=ENTRIES).map(entry).collect();
        let others = all.iter().skip(1).map(|entry| (entry.name.clone(), entry.incarnation));
        let support = Support::new(others.collect(), now.steady_ms);
        let (voters, queries) = (BTreeMap::new(), BTreeMap::new());
        let now_ms = now.steady_ms;
        Self { all, coordinator: 0, support, next_query_ms: now_ms, voters, queries }
    }

    /// Entries that are up promise support to the coordinator of a term. Returns until when a majority does.
    pub(super) fn support(&mut self, term: u64, now_ms: u64) -> u64 {
        for (number, entry) in self.all.iter_mut().enumerate() {
            let up = number != self.coordinator && entry.unavailable_until_ms <= now_ms;
            if up && entry.promises.promise(term, now_ms) {
                self.support.promised(&entry.name, entry.incarnation, now_ms);
            }
        }
        self.support.until_ms()
    }

    /// The coordinator names the entries that answer in its key, from time to time.
    pub(super) fn update_voters(&mut self, now_ms: u64) {
        if let Some(voters) = self.support.wanted(now_ms) {
            self.support.change(voters, now_ms);
            self.support.changed();
        }
    }

    /// The coordinator, or the entry that was about to take over, is away until a time; another process is
    /// there after it, unless it only stood still.
    pub(super) fn mark_lost(&mut self, unavailable_until_ms: u64, paused: bool) {
        let lost = &mut self.all[self.coordinator];
        lost.unavailable_until_ms = unavailable_until_ms;
        if !paused {
            lost.incarnation += 1;
            lost.promises = Promises::default();
        }
    }

    /// Chooses who takes over: the next entry that is up, if there is one.
    pub(super) fn elect(&mut self, now_ms: u64) -> bool {
        let from = self.coordinator;
        let mut next = (1..=ENTRIES).map(|step| (from + step) % ENTRIES);
        let up = next.find(|number| self.all[*number].unavailable_until_ms <= now_ms);
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
        self.next_query_ms = now_ms;
        let new_query = |(address, voters): (&SocketAddr, &Voters)| {
            (
                *address,
                PredecessorQuery { releases: Releases::new(voters.clone()), taken_over_ms: now_ms },
            )
        };
        self.queries = self.voters.iter().map(new_query).collect();
    }

    /// Asks those that have not answered the coordinator of a term. Returns the silent coordinators whose end
    /// is known, and when it is.
    pub(super) fn query_voters(&mut self, term: u64, now_ms: u64) -> Vec<(SocketAddr, u64)> {
        if now_ms < self.next_query_ms {
            return Vec::new();
        }
        self.next_query_ms = now_ms + QUERY_INTERVAL_MS;
        let up = self.all.iter_mut().filter(|entry| entry.unavailable_until_ms <= now_ms);
        for entry in up {
            let lasts_ms = entry.promises.release(term, now_ms);
            for query in self.queries.values_mut() {
                query.releases.released(&entry.name, entry.incarnation, lasts_ms, now_ms);
            }
        }
        let end = |query: &PredecessorQuery| {
            query.releases.until_ms().map(|ms| ms.max(query.taken_over_ms + STORE_CONFIRMS_MS))
        };
        self.queries.iter().filter_map(|(at, query)| Some((*at, end(query)?))).collect()
    }
}
