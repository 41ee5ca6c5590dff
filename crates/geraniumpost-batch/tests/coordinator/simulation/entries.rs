//! The entries: the coordinator, the entries that support it, and the voters that its successor
//! queries.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use geraniumpost_batch::Now;
use geraniumpost_batch::quorum::{Promises, Releases, Support, Voters};
use geraniumpost_batch::tuning::STORE_CONFIRMATION_VALIDITY_MS;
use geraniumpost_schema::Name;

/// Number of entries, including the coordinator.
const ENTRY_COUNT: usize = 5;
/// Interval between two queries to the voters of silent coordinators, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 300;

#[derive(Debug, Default)]
struct Entry {
    name: Name,
    incarnation: u64,
    promises: Promises,
    /// End of the time in which the entry cannot be reached, on the monotonic clock.
    unavailable_until_ms: u64,
}

/// Query of a silent coordinator's voters for the end of their support.
#[derive(Debug)]
struct PredecessorQuery {
    releases: Releases,
    /// Time at which the current coordinator took over, on the monotonic clock.
    taken_over_ms: u64,
}

#[derive(Debug)]
pub(super) struct Entries {
    all: Vec<Entry>,
    /// Index of the coordinator in `all`, or of the coordinator that was lost last.
    coordinator: usize,
    /// Support of the current coordinator by the other entries.
    support: Support,
    next_query_ms: u64,
    /// Voters of silent coordinators, by the address of the coordinator.
    voters: BTreeMap<SocketAddr, Voters>,
    /// Queries of the current coordinator, by the address of the silent coordinator.
    queries: BTreeMap<SocketAddr, PredecessorQuery>,
}

impl Entries {
    pub(super) fn new(now: Now) -> Self {
        let entry = |number| Entry { name: format!("e{number}").into(), ..Entry::default() };
        let all: Vec<Entry> = (1..=ENTRY_COUNT).map(entry).collect();
        let others = all.iter().skip(1).map(|entry| (entry.name.clone(), entry.incarnation));
        let support = Support::new(others.collect(), now.steady_ms);
        let (voters, queries) = (BTreeMap::new(), BTreeMap::new());
        let now_ms = now.steady_ms;
        Self { all, coordinator: 0, support, next_query_ms: now_ms, voters, queries }
    }

    /// Lets available entries promise support to the coordinator of `term`. Returns the time until
    /// which a majority supports this coordinator.
    pub(super) fn renew_support(&mut self, term: u64, now_ms: u64) -> u64 {
        for (index, entry) in self.all.iter_mut().enumerate() {
            let available = index != self.coordinator && entry.unavailable_until_ms <= now_ms;
            if available && entry.promises.promise(term, now_ms) {
                self.support.record_promise(&entry.name, entry.incarnation, now_ms);
            }
        }
        self.support.supported_until_ms()
    }

    /// Writes the voters to the coordinator's store key, if a change of voters is due.
    pub(super) fn update_voters(&mut self, now_ms: u64) {
        if let Some(voters) = self.support.voters_to_write(now_ms) {
            self.support.begin_voter_change(voters, now_ms);
            self.support.complete_voter_change();
        }
    }

    /// Makes the coordinator, or the entry about to take over, unavailable until
    /// `unavailable_until_ms`. A new process runs there afterwards, unless `paused` is set.
    pub(super) fn mark_lost(&mut self, unavailable_until_ms: u64, paused: bool) {
        let lost = &mut self.all[self.coordinator];
        lost.unavailable_until_ms = unavailable_until_ms;
        if !paused {
            lost.incarnation += 1;
            lost.promises = Promises::default();
        }
    }

    /// Elects the next available entry in cyclic order. Returns false if no entry is available.
    pub(super) fn elect(&mut self, now_ms: u64) -> bool {
        let from = self.coordinator;
        let mut next = (1..=ENTRY_COUNT).map(|step| (from + step) % ENTRY_COUNT);
        let available = next.find(|index| self.all[*index].unavailable_until_ms <= now_ms);
        available.inspect(|index| self.coordinator = *index).is_some()
    }

    /// Lets the elected entry take over, and starts queries to the voters of all silent
    /// coordinators. `silent` is the address of the previous coordinator, or `None` if the previous
    /// coordinator has ended its term.
    pub(super) fn take_over(&mut self, silent: Option<SocketAddr>, now_ms: u64) {
        let predecessor_voters = self.support.voters().clone();
        if let Some(address) = silent {
            self.voters.insert(address, predecessor_voters.clone());
        }
        let coordinator_name = &self.all[self.coordinator].name;
        self.support = Support::new(predecessor_voters.without(coordinator_name), now_ms);
        self.next_query_ms = now_ms;
        let new_query = |(address, voters): (&SocketAddr, &Voters)| {
            (
                *address,
                PredecessorQuery { releases: Releases::new(voters.clone()), taken_over_ms: now_ms },
            )
        };
        self.queries = self.voters.iter().map(new_query).collect();
    }

    /// Queries all available entries on behalf of the coordinator of `term`, if a query is due.
    /// Returns the addresses of silent coordinators whose end of support is known, each with that
    /// time.
    pub(super) fn query_voters(&mut self, term: u64, now_ms: u64) -> Vec<(SocketAddr, u64)> {
        if now_ms < self.next_query_ms {
            return Vec::new();
        }
        self.next_query_ms = now_ms + QUERY_INTERVAL_MS;
        let available = self.all.iter_mut().filter(|entry| entry.unavailable_until_ms <= now_ms);
        for entry in available {
            let lasts_ms = entry.promises.release(term, now_ms);
            for query in self.queries.values_mut() {
                query.releases.record(&entry.name, entry.incarnation, lasts_ms, now_ms);
            }
        }
        let support_end_ms = |query: &PredecessorQuery| {
            query
                .releases
                .support_end_ms()
                .map(|ms| ms.max(query.taken_over_ms + STORE_CONFIRMATION_VALIDITY_MS))
        };
        self.queries.iter().filter_map(|(at, query)| Some((*at, support_end_ms(query)?))).collect()
    }
}
