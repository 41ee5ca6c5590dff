use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Voters;
use crate::tuning::{
    FIRST_VOTERS_DELAY_MS, PROMISE_DURATION_MS, VOTER_CHANGE_INTERVAL_MS, VOTER_TIMEOUT_MS,
};

/// The last promise of an entry.
#[derive(Debug, Clone, Copy)]
struct Promise {
    incarnation: u64,
    /// Time at which the coordinator sent the pong that the entry responded to, on the
    /// coordinator's monotonic clock.
    sent_at_ms: u64,
    /// Whether the entry has announced that it stops.
    stopping: bool,
}

/// The support of other entries for a coordinator in one term.
#[derive(Debug)]
pub struct Support {
    voters: Voters,
    /// The voters that are being written in place of the current voters. Until the write is
    /// complete, the key may hold either set, and the coordinator needs a majority of each.
    next_voters: Option<Voters>,
    /// Start of the last change of the voters, on the coordinator's monotonic clock.
    last_change_ms: u64,
    promises: BTreeMap<Name, Promise>,
}

impl Support {
    /// Returns the support at the beginning of a term, at `now_ms` on the monotonic clock; `voters`
    /// are those that the coordinator's key holds.
    pub const fn new(voters: Voters, now_ms: u64) -> Self {
        Self { voters, next_voters: None, last_change_ms: now_ms, promises: BTreeMap::new() }
    }

    /// Records an entry's promise in response to a pong that was sent at `sent_at_ms` on the
    /// monotonic clock. A promise in response to an earlier pong is ignored.
    pub fn record_promise(&mut self, entry: &Name, incarnation: u64, sent_at_ms: u64) {
        let promise = Promise { incarnation, sent_at_ms, stopping: false };
        match self.promises.get_mut(entry) {
            Some(known) if known.sent_at_ms > sent_at_ms => {}
            Some(known) => *known = promise,
            None => drop(self.promises.insert(entry.clone(), promise)),
        }
    }

    /// Records that an entry is about to stop. The entry's promises remain valid, but the next set
    /// of voters leaves the entry out.
    pub fn mark_stopping(&mut self, entry: &Name) {
        if let Some(promise) = self.promises.get_mut(entry) {
            promise.stopping = true;
        }
    }

    /// Returns the time since the coordinator sent the last pong that an entry has responded to, in
    /// milliseconds, or `None` if the entry never responded.
    pub fn last_promise_age_ms(&self, entry: &Name, now_ms: u64) -> Option<u64> {
        self.promises.get(entry).map(|promise| now_ms.saturating_sub(promise.sent_at_ms))
    }

    /// Returns the time until which a majority supports the coordinator, on the monotonic clock. A
    /// coordinator without voters always has a majority, and no entry can release a promise to it.
    /// Its successor waits until the coordinator may no longer extend leases without the store.
    pub fn supported_until_ms(&self) -> u64 {
        let sets = std::iter::once(&self.voters).chain(&self.next_voters);
        sets.map(|voters| self.majority_end_ms(voters)).min().unwrap_or(0)
    }

    /// Returns the time until which a majority of these voters supports the coordinator.
    fn majority_end_ms(&self, voters: &Voters) -> u64 {
        let mut until_ms: Vec<u64> = self.promise_ends_ms(voters).collect();
        until_ms.sort_unstable_by(|a, b| b.cmp(a));
        match voters.needed_to_support() {
            0 => u64::MAX,
            needed => until_ms.get(needed - 1).copied().unwrap_or(0),
        }
    }

    /// Returns the end of each promise that these voters gave, on the monotonic clock.
    fn promise_ends_ms<'a>(&'a self, voters: &'a Voters) -> impl Iterator<Item = u64> + 'a {
        let of_voters = self
            .promises
            .iter()
            .filter(|(entry, promise)| voters.contains(entry, promise.incarnation));
        of_voters.map(|(_, promise)| promise.sent_at_ms + PROMISE_DURATION_MS)
    }

    /// Returns the number of voters that support the coordinator at `now_ms`.
    pub fn supporter_count(&self, now_ms: u64) -> usize {
        self.promise_ends_ms(&self.voters).filter(|until_ms| *until_ms > now_ms).count()
    }

    /// Returns whether any entry responds at `now_ms` and is not about to stop, so that it can take
    /// over. The entry need not be a voter.
    pub fn has_candidate(&self, now_ms: u64) -> bool {
        let can_take_over = |promise: &Promise| {
            !promise.stopping && promise.sent_at_ms + PROMISE_DURATION_MS > now_ms
        };
        self.promises.values().any(can_take_over)
    }

    /// Returns the voters that the coordinator's key holds.
    pub const fn voters(&self) -> &Voters {
        &self.voters
    }

    /// Returns the voters that should be written into the coordinator's key, or `None` if the key
    /// needs no change at `now_ms`. The voters are the entries that respond to pongs. They do not
    /// change within [`VOTER_CHANGE_INTERVAL_MS`] of the last change or the beginning of the term:
    /// a coordinator that has just taken over has not heard from any entry, and would write an
    /// empty set. If the key names no voters, the first ones are named after
    /// [`FIRST_VOTERS_DELAY_MS`].
    pub fn voters_to_write(&self, now_ms: u64) -> Option<Voters> {
        let interval_ms =
            if self.voters.is_empty() { FIRST_VOTERS_DELAY_MS } else { VOTER_CHANGE_INTERVAL_MS };
        if now_ms < self.last_change_ms + interval_ms {
            return None;
        }
        let responsive = self.responsive_entries(now_ms);
        (responsive != self.voters).then_some(responsive)
    }

    /// Returns the entries that have responded recently and are not about to stop.
    fn responsive_entries(&self, now_ms: u64) -> Voters {
        let recent =
            |promise: &Promise| !promise.stopping && promise.sent_at_ms + VOTER_TIMEOUT_MS > now_ms;
        let responsive = self.promises.iter().filter(|(_, promise)| recent(promise));
        responsive.map(|(entry, promise)| (entry.clone(), promise.incarnation)).collect()
    }

    /// Records that a write of other voters into the key began at `now_ms`.
    pub fn begin_voter_change(&mut self, voters: Voters, now_ms: u64) {
        self.next_voters = Some(voters);
        self.last_change_ms = now_ms;
    }

    /// Records that the key holds the voters of the last [`Self::begin_voter_change`].
    pub fn complete_voter_change(&mut self) {
        if let Some(voters) = self.next_voters.take() {
            self.voters = voters;
        }
    }
}
