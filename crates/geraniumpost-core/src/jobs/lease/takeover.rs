use super::{LeaseHolder, TermRecord};
use crate::Millis;

/// The start of a new planner's term, with the leases that its predecessors may have granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Takeover {
    /// Term of the new planner, higher than the terms of all predecessors.
    pub term: u64,
    /// Instant at which the new planner held the lease. No earlier holder holds the lease from then
    /// on.
    pub at: Millis,
    /// Earlier holders that may still grant agent leases.
    pub earlier: Vec<LeaseHolder>,
    /// Whether there are earlier holders that `earlier` does not list. Proof that the listed
    /// holders stopped is then not sufficient.
    pub earlier_dropped: bool,
    /// Longest time in milliseconds for which an earlier holder grants agent leases without the
    /// store.
    pub outage_hold_ms: u64,
    /// Longest agent lease in milliseconds that an earlier holder grants.
    pub hold_ms: u64,
}

impl Takeover {
    /// Creates the takeover from the record that the new planner wrote; the planner held the lease
    /// at `at`.
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
