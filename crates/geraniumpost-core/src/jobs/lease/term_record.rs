use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use super::{LeaseConfig, LeaseHolder};

/// Maximum number of earlier holders that are listed by name.
const MAX_EARLIER_HOLDERS: usize = 8;

/// Returns the store key of the [`TermRecord`]. The key is not attached to a lease and never
/// expires.
pub fn term_key(region: &Name) -> String {
    format!("planner/{region}")
}

/// Returns the store key that is attached to the planner's lease and is deleted with it.
pub fn alive_key(region: &Name) -> String {
    format!("planner/{region}/alive")
}

/// The term of a region's planner, as kept in the store.
///
/// The record also lists the earlier holders that may still grant agent leases, and how long they
/// may do so. The next planner has to wait that long before it reassigns the runs of agents that it
/// cannot reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Number of the term, incremented by each new holder.
    pub term: u64,
    /// Process that plans in this term.
    pub holder: LeaseHolder,
    /// Earlier planners that may not have noticed that they were superseded.
    pub earlier: Vec<LeaseHolder>,
    /// Whether there were more earlier planners than are listed.
    pub earlier_dropped: bool,
    /// Longest time in milliseconds for which any listed planner grants agent leases without the
    /// store.
    pub outage_hold_ms: u64,
    /// Longest agent lease in milliseconds that any listed planner grants.
    pub hold_ms: u64,
    /// Number of writes of the record. A holder that lost the response to a write compares this
    /// number to recognize its own write.
    pub writes: u64,
}

impl TermRecord {
    /// Creates the record of a region's first holder.
    pub fn first(holder: LeaseHolder, config: &LeaseConfig) -> Self {
        Self {
            term: 1,
            holder,
            earlier: Vec::new(),
            earlier_dropped: false,
            outage_hold_ms: config.outage_hold_ms,
            hold_ms: config.hold_ms,
            writes: 1,
        }
    }

    /// Returns the record of the next holder, with the current holder added to the earlier holders.
    #[must_use]
    pub fn next(&self, holder: LeaseHolder, config: &LeaseConfig) -> Self {
        let mut earlier = self.earlier.clone();
        earlier.push(self.holder.clone());
        earlier.retain(|other| *other != holder);
        let surplus = earlier.len().saturating_sub(MAX_EARLIER_HOLDERS);
        earlier.drain(..surplus);
        Self {
            term: self.term + 1,
            holder,
            earlier,
            earlier_dropped: self.earlier_dropped || surplus > 0,
            outage_hold_ms: self.outage_hold_ms.max(config.outage_hold_ms),
            hold_ms: self.hold_ms.max(config.hold_ms),
            writes: self.writes + 1,
        }
    }

    /// Returns the record of the same holder, with each recorded time that is shorter than
    /// configured raised to the configured time.
    #[must_use]
    pub fn with_raised_times(&self, config: &LeaseConfig) -> Self {
        Self {
            outage_hold_ms: self.outage_hold_ms.max(config.outage_hold_ms),
            hold_ms: self.hold_ms.max(config.hold_ms),
            writes: self.writes + 1,
            ..self.clone()
        }
    }

    /// Returns the record of the same holder without earlier holders, for use once all of them have
    /// stopped granting agent leases.
    #[must_use]
    pub fn without_earlier_holders(&self) -> Self {
        Self {
            earlier: Vec::new(),
            earlier_dropped: false,
            writes: self.writes + 1,
            ..self.clone()
        }
    }

    /// Returns the record of the same holder with the configured times, even if these are shorter.
    #[must_use]
    pub fn with_configured_times(&self, config: &LeaseConfig) -> Self {
        Self {
            outage_hold_ms: config.outage_hold_ms,
            hold_ms: config.hold_ms,
            writes: self.writes + 1,
            ..self.clone()
        }
    }

    /// Returns whether an earlier holder may still grant agent leases.
    pub fn has_earlier_holders(&self) -> bool {
        self.earlier_dropped || !self.earlier.is_empty()
    }
}
