//! What allows a coordinator to extend leases: a confirmation by the store, or the support of other
//! entries.

use derive_more::Display;

use super::Coordinator;
use crate::Now;
use crate::tuning::{STORE_CONFIRMATION_VALIDITY_MS, STORE_OUTAGE_TOLERANCE_MS};

/// Minimum interval between two log lines on the lease basis, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The support of other entries, as last set.
#[derive(Debug, Default)]
pub(super) struct EntrySupport {
    /// Until when a majority has promised not to follow a successor, on the steady clock.
    until_ms: u64,
    supporters: usize,
    /// The basis that was last logged, and when.
    last_logged: Option<(Option<LeaseBasis>, u64)>,
}

/// What allows the extension of leases.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub(super) enum LeaseBasis {
    /// A majority of entries does not follow a successor.
    Entries,
    /// The store has confirmed the term a moment ago.
    Store,
}

impl Coordinator {
    /// Sets until when a majority of entries supports this coordinator, on the steady clock, and
    /// how many other entries support it now.
    pub const fn set_supported_until(&mut self, steady_ms: u64, supporters: usize) {
        self.support.until_ms = steady_ms;
        self.support.supporters = supporters;
    }

    /// Returns what allows this coordinator to extend leases, if anything does.
    ///
    /// Nothing does once [`STORE_OUTAGE_TOLERANCE_MS`] have passed since the last confirmed request
    /// to the store: a successor that hears from too few entries then assumes that the runs have
    /// ended.
    pub(super) const fn lease_basis(&self, now: Now) -> Option<LeaseBasis> {
        if now.steady_ms >= self.confirmation_requested_ms + STORE_OUTAGE_TOLERANCE_MS {
            return None;
        }
        if now.steady_ms < self.support.until_ms {
            return Some(LeaseBasis::Entries);
        }
        if now.steady_ms < self.confirmation_requested_ms + STORE_CONFIRMATION_VALIDITY_MS {
            return Some(LeaseBasis::Store);
        }
        None
    }

    /// Logs the lease basis when it has changed.
    pub(super) fn log_lease_basis(&mut self, now: Now) {
        let basis = self.lease_basis(now);
        let due = match self.support.last_logged {
            None => true,
            Some((logged, at_ms)) => logged != basis && now.steady_ms >= at_ms + LOG_INTERVAL_MS,
        };
        if !due {
            return;
        }
        self.support.last_logged = Some((basis, now.steady_ms));
        let name = basis.map_or_else(|| "none".to_owned(), |basis| basis.to_string());
        let store_age_ms = now.steady_ms.saturating_sub(self.confirmation_requested_ms);
        let supporters = self.support.supporters;
        self.log(format!(
            "event=lease_basis basis={name} store_age_ms={store_age_ms} supporters={supporters}"
        ));
    }
}
