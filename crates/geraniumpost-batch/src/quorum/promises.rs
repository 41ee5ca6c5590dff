use std::collections::BTreeMap;

use crate::tuning::{PROMISE_MS, PROMISE_PERCENT};

/// What an entry has promised to coordinators.
///
/// A promise counts from the moment at which the entry heard of its coordinator, however late the promise
/// is sent or read. The coordinator counts from when it sent the pong that the entry heard, which was earlier.
#[derive(Debug, Default)]
pub struct Promises {
    /// No coordinator of an earlier term than this is supported any more.
    released_below: u64,
    /// Until when each term was promised support, on the entry's steady clock.
    until_ms: BTreeMap<u64, u64>,
}

impl Promises {
    /// Promises support to the coordinator of a term that was heard at a time on the steady clock. Returns
    /// false if a later term was promised that this one gets none any more.
    pub fn promise(&mut self, term: u64, heard_ms: u64) -> bool {
        if term < self.released_below {
            return false;
        }
        let until_ms = self.until_ms.entry(term).or_default();
        *until_ms = (*until_ms).max(heard_ms + PROMISE_MS * PROMISE_PERCENT / 100);
        true
    }

    /// Withdraws support from all coordinators before a term for good, as its coordinator asks. Returns for
    /// how many milliseconds more they may count on what was promised.
    pub fn release(&mut self, term: u64, now_ms: u64) -> u64 {
        self.released_below = self.released_below.max(term);
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
        let earlier = self.until_ms.range(..term).map(|(_, until_ms)| until_ms - now_ms);
        earlier.max().unwrap_or(0)
    }
}
