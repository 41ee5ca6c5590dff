use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Voters;
use crate::tuning::{PROMISE_MS, VOTER_CHANGE_INTERVAL_MS, VOTER_TIMEOUT_MS};

/// The last promise of an entry.
#[derive(Debug, Clone, Copy)]
struct Promise {
    incarnation: u64,
    /// When the coordinator sent what the entry has answered, on its own steady clock.
    sent_at_ms: u64,
    stopping: bool,
}

/// The support that a coordinator has from other entries in one term.
#[derive(Debug)]
pub struct Support {
    voters: Voters,
    /// The list that is being written in place of the present one: until that has ended, the key may hold
    /// either, and both have to support the coordinator.
    next: Option<Voters>,
    /// When voters were named last, on the coordinator's steady clock.
    named_ms: u64,
    promises: BTreeMap<Name, Promise>,
}

impl Support {
    /// Returns the support of a term that begins at a time on the steady clock, whose key names these voters.
    pub const fn new(voters: Voters, now_ms: u64) -> Self {
        Self { voters, next: None, named_ms: now_ms, promises: BTreeMap::new() }
    }

    /// Takes note that an entry promises support in answer to what was sent at a time on the steady clock.
    pub fn record_promise(&mut self, node: &Name, incarnation: u64, sent_at_ms: u64) {
        let promise = Promise { incarnation, sent_at_ms, stopping: false };
        match self.promises.get_mut(node) {
            Some(known) if known.sent_at_ms > sent_at_ms => {}
            Some(known) => *known = promise,
            None => drop(self.promises.insert(node.clone(), promise)),
        }
    }

    /// Takes note that an entry is about to stop. What it promised holds, but it should be a voter no more.
    pub fn mark_stopping(&mut self, node: &Name) {
        if let Some(promise) = self.promises.get_mut(node) {
            promise.stopping = true;
        }
    }

    /// Returns for how long an entry has not answered at a time on the steady clock, if it ever did.
    pub fn silent_ms(&self, node: &Name, now_ms: u64) -> Option<u64> {
        self.promises.get(node).map(|promise| now_ms.saturating_sub(promise.sent_at_ms))
    }

    /// Returns until when a majority supports the coordinator, on the steady clock. A coordinator without
    /// any voters always has one: nobody can release it, so that a successor waits for the longest time.
    pub fn supported_until_ms(&self) -> u64 {
        let lists = std::iter::once(&self.voters).chain(&self.next);
        lists.map(|voters| self.until_ms_by(voters)).min().unwrap_or(0)
    }

    fn until_ms_by(&self, voters: &Voters) -> u64 {
        let mut until_ms: Vec<u64> = self.promises_of(voters).collect();
        until_ms.sort_unstable_by(|a, b| b.cmp(a));
        match voters.needed_to_support() {
            0 => u64::MAX,
            needed => until_ms.get(needed - 1).copied().unwrap_or(0),
        }
    }

    fn promises_of<'a>(&'a self, voters: &'a Voters) -> impl Iterator<Item = u64> + 'a {
        let counted = self
            .promises
            .iter()
            .filter(|(node, promise)| voters.contains(node, promise.incarnation));
        counted.map(|(_, promise)| promise.sent_at_ms + PROMISE_MS)
    }

    /// Returns how many voters support the coordinator at a time on the steady clock.
    pub fn supporter_count(&self, now_ms: u64) -> usize {
        self.promises_of(&self.voters).filter(|until_ms| *until_ms > now_ms).count()
    }

    /// Returns the voters that the key names.
    pub const fn voters(&self) -> &Voters {
        &self.voters
    }

    /// Returns the voters that the key should name at a time on the steady clock, if it should name others:
    /// the entries that answer, unless voters were named a moment ago. A coordinator that has just taken over
    /// has heard of nobody yet, and would name none.
    pub fn voters_to_write(&self, now_ms: u64) -> Option<Voters> {
        if now_ms < self.named_ms + VOTER_CHANGE_INTERVAL_MS {
            return None;
        }
        let answering = self.answering(now_ms);
        (answering != self.voters).then_some(answering)
    }

    fn answering(&self, now_ms: u64) -> Voters {
        let fresh =
            |promise: &Promise| !promise.stopping && promise.sent_at_ms + VOTER_TIMEOUT_MS > now_ms;
        let answering = self.promises.iter().filter(|(_, promise)| fresh(promise));
        answering.map(|(node, promise)| (node.clone(), promise.incarnation)).collect()
    }

    /// Takes note that another list is about to be written, at a time on the steady clock.
    pub fn begin_voter_change(&mut self, voters: Voters, now_ms: u64) {
        self.next = Some(voters);
        self.named_ms = now_ms;
    }

    /// Takes note that the key holds the list that was about to be written.
    pub fn complete_voter_change(&mut self) {
        if let Some(voters) = self.next.take() {
            self.voters = voters;
        }
    }
}
