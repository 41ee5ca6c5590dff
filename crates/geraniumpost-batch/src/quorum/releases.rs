use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Voters;
use crate::tuning::{ENTRY_PROMISE_DURATION_PERCENT, PROMISE_DURATION_MS};

/// Voters of a silent coordinator and, for those that have responded to a release request, the end
/// of their last promise.
#[derive(Debug)]
pub struct Releases {
    voters: Voters,
    /// End of the promise of each voter that has responded, on the successor's monotonic clock.
    promise_ends_ms: BTreeMap<Name, u64>,
}

impl Releases {
    /// Returns the state before any of these voters has responded.
    pub const fn new(voters: Voters) -> Self {
        Self { voters, promise_ends_ms: BTreeMap::new() }
    }

    /// Records the response of an entry's incarnation, read at `now_ms` on the monotonic clock: the
    /// entry gives no new promises to earlier coordinators, and its existing promises end within
    /// `remaining_ms`.
    ///
    /// An incarnation other than the voter's does not know the voter's promises. The voter has
    /// terminated and may have given its last promise just before; that promise is assumed to last
    /// for its full duration.
    pub fn record(&mut self, entry: &Name, incarnation: u64, remaining_ms: u64, now_ms: u64) {
        let Some(voter) = self.voters.incarnation(entry) else { return };
        let same = voter == incarnation;
        let remaining_ms = if same {
            remaining_ms
        } else {
            PROMISE_DURATION_MS * ENTRY_PROMISE_DURATION_PERCENT / 100
        };
        self.promise_ends_ms.entry(entry.clone()).or_insert(now_ms + remaining_ms);
    }

    /// Returns the voters that have not responded to a release request.
    pub fn voters_without_response(&self) -> impl Iterator<Item = &Name> {
        self.voters.names().filter(|entry| !self.promise_ends_ms.contains_key(*entry))
    }

    /// Returns the number of voters that have responded, or whose later incarnation has responded.
    pub fn response_count(&self) -> usize {
        self.promise_ends_ms.len()
    }

    /// Returns the time on the monotonic clock after which no majority supports the silent
    /// coordinator, or `None` if too few voters have responded.
    pub fn support_end_ms(&self) -> Option<u64> {
        let mut promise_ends_ms: Vec<u64> = self.promise_ends_ms.values().copied().collect();
        promise_ends_ms.sort_unstable();
        promise_ends_ms.get(self.voters.needed_to_release() - 1).copied()
    }
}
