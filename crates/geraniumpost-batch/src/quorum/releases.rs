use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Voters;
use crate::tuning::{KEPT_PROMISE_PERCENT, PROMISE_DURATION_MS};

/// The voters of a silent coordinator that have released their promises to it, as known to its
/// successor.
#[derive(Debug)]
pub struct Releases {
    voters: Voters,
    /// Until when the silent coordinator may rely on each, on the successor's monotonic clock.
    until_ms: BTreeMap<Name, u64>,
}

impl Releases {
    /// Returns the state in which none of these voters has answered.
    pub const fn new(voters: Voters) -> Self {
        Self { voters, until_ms: BTreeMap::new() }
    }

    /// Records the answer of an incarnation of an entry, read at `now_ms` on the monotonic clock:
    /// it gives no earlier coordinator a new promise, and those that it gave last for
    /// `remaining_ms` more.
    ///
    /// An incarnation other than the voter's does not know the voter's promises. The voter has
    /// terminated and gives no new ones, so that its last promise may last for a whole promise
    /// duration.
    pub fn record(&mut self, node: &Name, incarnation: u64, remaining_ms: u64, now_ms: u64) {
        let Some(voter) = self.voters.incarnation(node) else { return };
        let same = voter == incarnation;
        let remaining_ms =
            if same { remaining_ms } else { PROMISE_DURATION_MS * KEPT_PROMISE_PERCENT / 100 };
        self.until_ms.entry(node.clone()).or_insert(now_ms + remaining_ms);
    }

    /// Returns the voters that have not answered.
    pub fn voters_without_response(&self) -> impl Iterator<Item = &Name> {
        self.voters.names().filter(|node| !self.until_ms.contains_key(*node))
    }

    /// Returns the number of voters that have answered.
    pub fn response_count(&self) -> usize {
        self.until_ms.len()
    }

    /// Returns the time on the monotonic clock after which no majority supports the silent
    /// coordinator, or `None` if too few voters have answered.
    pub fn support_end_ms(&self) -> Option<u64> {
        let mut until_ms: Vec<u64> = self.until_ms.values().copied().collect();
        until_ms.sort_unstable();
        until_ms.get(self.voters.needed_to_release() - 1).copied()
    }
}
