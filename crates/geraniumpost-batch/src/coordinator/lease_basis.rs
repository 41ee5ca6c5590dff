//! What lets a coordinator extend leases: the store's word, or the support of other entries.

use derive_more::Display;

use super::Coordinator;
use crate::Now;
use crate::tuning::{STORE_CONFIRMATION_MS, STORE_OUTAGE_TOLERANCE_MS};

/// Shortest pause between two lines on what leases rest on, in milliseconds.
const LEASE_BASIS_LOG_INTERVAL_MS: u64 = 1_000;

/// The support of other entries, as last heard.
#[derive(Debug, Default)]
pub(super) struct Supported {
    /// Until when a majority has promised to follow no successor, on the steady clock.
    until_ms: u64,
    supporters: usize,
    /// What was told of it last, and when.
    told: Option<(Option<LeaseBasis>, u64)>,
}

/// What the extension of leases rests on.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub(super) enum LeaseBasis {
    /// A majority of entries follows no successor.
    Entries,
    /// The store has confirmed the term a moment ago.
    Store,
}

impl Coordinator {
    /// Takes note until when a majority of entries supports this coordinator, on the steady clock, and how
    /// many of the others do at present.
    pub const fn set_supported_until(&mut self, steady_ms: u64, supporters: usize) {
        self.supported.until_ms = steady_ms;
        self.supported.supporters = supporters;
    }

    /// Returns what lets this coordinator extend leases, if anything does.
    ///
    /// Nothing does for long after the store was last asked: a successor that hears from too few entries
    /// takes the work for ended then.
    pub(super) const fn lease_basis(&self, now: Now) -> Option<LeaseBasis> {
        if now.steady_ms >= self.asked_ms + STORE_OUTAGE_TOLERANCE_MS {
            return None;
        }
        if now.steady_ms < self.supported.until_ms {
            return Some(LeaseBasis::Entries);
        }
        if now.steady_ms < self.asked_ms + STORE_CONFIRMATION_MS {
            return Some(LeaseBasis::Store);
        }
        None
    }

    /// Tells what the extension of leases rests on when that has changed.
    pub(super) fn tell_lease_basis(&mut self, now: Now) {
        let basis = self.lease_basis(now);
        let due = match self.supported.told {
            None => true,
            Some((told, at_ms)) => {
                told != basis && now.steady_ms >= at_ms + LEASE_BASIS_LOG_INTERVAL_MS
            }
        };
        if !due {
            return;
        }
        self.supported.told = Some((basis, now.steady_ms));
        let name = basis.map_or_else(|| "nothing".to_owned(), |basis| basis.to_string());
        let store_age_ms = now.steady_ms.saturating_sub(self.asked_ms);
        let supporters = self.supported.supporters;
        self.note(format!(
            "event=lease_basis basis={name} store_age_ms={store_age_ms} supporters={supporters}"
        ));
    }
}
