use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use super::{LeaseConfig, LeaseHolder};

/// Most earlier holders that are told apart.
const MAX_EARLIER: usize = 8;

/// Returns the store key of the [`TermRecord`], which outlives every lease.
pub fn term_key(region: &Name) -> String {
    format!("planner/{region}")
}

/// Returns the store key that is attached to the planner's store lease.
pub fn alive_key(region: &Name) -> String {
    format!("planner/{region}/alive")
}

/// The term of a region's planner, kept in the store.
///
/// It also names the earlier holders that may still be granting holds, and for how long such a
/// holder may go on, because the next planner has to wait that long for agents it cannot reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Grows with each holder.
    pub term: u64,
    /// Who plans.
    pub holder: LeaseHolder,
    /// Who planned before and may not know that it no longer does.
    pub earlier: Vec<LeaseHolder>,
    /// Whether there were more of them than are told apart.
    pub earlier_dropped: bool,
    /// Longest time that any of these grants holds after it lost the store.
    pub outage_hold_ms: u64,
    /// Longest hold that any of these grants.
    pub hold_ms: u64,
    /// Counts writes of the record, so that a holder whose reply was lost knows its own write.
    pub writes: u64,
}

impl TermRecord {
    /// Returns the record of the first holder.
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

    /// Returns the record of the next holder.
    #[must_use]
    pub fn next(&self, holder: LeaseHolder, config: &LeaseConfig) -> Self {
        let mut earlier = self.earlier.clone();
        earlier.push(self.holder.clone());
        earlier.retain(|other| *other != holder);
        let surplus = earlier.len().saturating_sub(MAX_EARLIER);
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

    /// Returns the record of the same holder with longer times, if the configuration asks for them.
    #[must_use]
    pub fn raised(&self, config: &LeaseConfig) -> Self {
        Self {
            outage_hold_ms: self.outage_hold_ms.max(config.outage_hold_ms),
            hold_ms: self.hold_ms.max(config.hold_ms),
            writes: self.writes + 1,
            ..self.clone()
        }
    }

    /// Returns the record of the same holder once the earlier ones are surely gone.
    #[must_use]
    pub fn settled(&self) -> Self {
        Self {
            earlier: Vec::new(),
            earlier_dropped: false,
            writes: self.writes + 1,
            ..self.clone()
        }
    }

    /// Returns the record of the same holder with the configured times, even if they are shorter.
    #[must_use]
    pub fn lowered(&self, config: &LeaseConfig) -> Self {
        Self {
            outage_hold_ms: config.outage_hold_ms,
            hold_ms: config.hold_ms,
            writes: self.writes + 1,
            ..self.clone()
        }
    }

    /// Returns whether earlier holders may still be granting holds.
    pub fn has_earlier(&self) -> bool {
        self.earlier_dropped || !self.earlier.is_empty()
    }
}
