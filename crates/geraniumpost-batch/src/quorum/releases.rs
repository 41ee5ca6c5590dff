use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Voters;
use crate::tuning::{PROMISE_MS, PROMISE_PERCENT};

/// Which voters of a silent coordinator have released their promises to it, as its successor heard.
#[derive(Debug)]
pub struct Releases {
    voters: Voters,
    /// Until when the silent coordinator may count on each, on the successor's steady clock.
    until_ms: BTreeMap<Name, u64>,
}

impl Releases {
    /// Returns that nobody of these voters has answered yet.
    pub const fn new(voters: Voters) -> Self {
        Self { voters, until_ms: BTreeMap::new() }
    }

    /// Takes note of an answer that was read at a time on the steady clock: an incarnation of an entry
    /// supports no earlier coordinator any more, but for promises that last so many milliseconds more.
    ///
    /// Another incarnation than the one that was counted knows nothing of its promises, but that one has
    /// ended and gives no more.
    pub fn record(&mut self, node: &Name, incarnation: u64, lasts_ms: u64, now_ms: u64) {
        let Some(counted) = self.voters.incarnation(node) else { return };
        let same = counted == incarnation;
        let lasts_ms = if same { lasts_ms } else { PROMISE_MS * PROMISE_PERCENT / 100 };
        self.until_ms.entry(node.clone()).or_insert(now_ms + lasts_ms);
    }

    /// Returns the voters that have not answered.
    pub fn unanswered(&self) -> impl Iterator<Item = &Name> {
        self.voters.names().filter(|node| !self.until_ms.contains_key(*node))
    }

    /// Returns how many voters have answered.
    pub fn count(&self) -> usize {
        self.until_ms.len()
    }

    /// Returns after which time on the steady clock no majority supports the silent coordinator any more, if
    /// enough voters have answered to know.
    pub fn support_end_ms(&self) -> Option<u64> {
        let mut until_ms: Vec<u64> = self.until_ms.values().copied().collect();
        until_ms.sort_unstable();
        until_ms.get(self.voters.needed_to_release() - 1).copied()
    }
}
