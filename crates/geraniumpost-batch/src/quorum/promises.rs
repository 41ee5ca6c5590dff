use std::collections::BTreeMap;

use crate::tuning::{ENTRY_PROMISE_DURATION_PERCENT, PROMISE_DURATION_MS};

/// Promises of one entry to support coordinators.
///
/// For the entry, a promise begins when the entry receives the coordinator's pong, regardless of
/// when the entry sends the promise or the coordinator reads it. For the coordinator, the promise
/// begins when the coordinator sent that pong, which was earlier.
#[derive(Debug, Default)]
pub struct Promises {
    /// Lowest term that may still get a promise; promises to earlier terms are not renewed.
    lowest_term: u64,
    /// End of the promise to each term, on the entry's monotonic clock.
    until_ms: BTreeMap<u64, u64>,
}

impl Promises {
    /// Promises support to the coordinator of a term whose pong was received at `heard_ms` on the
    /// monotonic clock. Returns `false` without a promise if the support for this term was
    /// withdrawn.
    pub fn promise(&mut self, term: u64, heard_ms: u64) -> bool {
        if term < self.lowest_term {
            return false;
        }
        let until_ms = self.until_ms.entry(term).or_default();
        *until_ms =
            (*until_ms).max(heard_ms + PROMISE_DURATION_MS * ENTRY_PROMISE_DURATION_PERCENT / 100);
        true
    }

    /// Withdraws support permanently from the coordinators of all terms before `term`, at the
    /// request of the coordinator of `term`. Returns for how many more milliseconds these
    /// coordinators may rely on earlier promises.
    pub fn release(&mut self, term: u64, now_ms: u64) -> u64 {
        self.lowest_term = self.lowest_term.max(term);
        self.until_ms.retain(|_, until_ms| *until_ms > now_ms);
        let earlier = self.until_ms.range(..term).map(|(_, until_ms)| until_ms - now_ms);
        earlier.max().unwrap_or(0)
    }
}
