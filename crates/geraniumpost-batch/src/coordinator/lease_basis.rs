//! What allows a coordinator to extend leases: a confirmation by the store, or the support of other
//! entries.

use derive_more::Display;

use super::Coordinator;
use crate::Now;
use crate::tuning::{STORE_CONFIRMATION_VALIDITY_MS, STORE_OUTAGE_TOLERANCE_MS};

/// Minimum interval between two log lines on the lease basis, in milliseconds.
const BASIS_LOG_INTERVAL_MS: u64 = 1_000;

/// The support of other entries for this coordinator, as last set by the driver.
#[derive(Debug, Default)]
pub(super) struct EntrySupport {
    /// End of the majority's promise to follow no successor, on the monotonic clock.
    supported_until_ms: u64,
    supporters: usize,
    /// The basis that was last logged, and the time of that line on the monotonic clock.
    last_logged: Option<(Option<LeaseBasis>, u64)>,
}

/// What allows the extension of leases.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub(super) enum LeaseBasis {
    /// A majority of entries has promised to follow no successor.
    Entries,
    /// The store has confirmed the term, by a request sent less than
    /// [`STORE_CONFIRMATION_VALIDITY_MS`] ago.
    Store,
}

impl Coordinator {
    /// Sets the time until which a majority of entries supports this coordinator, on the monotonic
    /// clock, and the number of other entries that support it now.
    pub const fn set_supported_until(&mut self, steady_ms: u64, supporters: usize) {
        self.support.supported_until_ms = steady_ms;
        self.support.supporters = supporters;
    }

    /// Returns what allows this coordinator to extend leases, or `None` if nothing does.
    ///
    /// Returns `None` once [`STORE_OUTAGE_TOLERANCE_MS`] have passed since the last confirmed
    /// request to the store: a successor that hears from too few entries then assumes that the runs
    /// have ended.
    pub(super) const fn lease_basis(&self, now: Now) -> Option<LeaseBasis> {
        if now.steady_ms >= self.confirmation_requested_ms + STORE_OUTAGE_TOLERANCE_MS {
            return None;
        }
        if now.steady_ms < self.support.supported_until_ms {
            return Some(LeaseBasis::Entries);
        }
        if now.steady_ms < self.confirmation_requested_ms + STORE_CONFIRMATION_VALIDITY_MS {
            return Some(LeaseBasis::Store);
        }
        None
    }

    /// Logs the lease basis if it has changed, at most once per [`BASIS_LOG_INTERVAL_MS`].
    pub(super) fn log_lease_basis(&mut self, now: Now) {
        let basis = self.lease_basis(now);
        let due = match self.support.last_logged {
            None => true,
            Some((logged, at_ms)) => {
                logged != basis && now.steady_ms >= at_ms + BASIS_LOG_INTERVAL_MS
            }
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
