use super::{LeaseHolder, TermRecord};
use crate::Millis;

/// What a new planner knows of those before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Takeover {
    /// The new planner's term.
    pub term: u64,
    /// When it had the lease, which no earlier holder had from then on.
    pub at: Millis,
    /// Earlier holders that may still grant holds.
    pub earlier: Vec<LeaseHolder>,
    /// Whether there are more, so that no proof of the named ones is enough.
    pub earlier_dropped: bool,
    /// Longest time that an earlier holder grants holds after it lost the store.
    pub outage_hold_ms: u64,
    /// Longest hold that an earlier holder grants.
    pub hold_ms: u64,
}

impl Takeover {
    /// Returns what follows from the record that the new planner wrote at `at`.
    pub fn new(record: &TermRecord, at: Millis) -> Self {
        Self {
            term: record.term,
            at,
            earlier: record.earlier.clone(),
            earlier_dropped: record.earlier_dropped,
            outage_hold_ms: record.outage_hold_ms,
            hold_ms: record.hold_ms,
        }
    }
}
