use derive_more::Constructor;

use crate::Millis;

/// The time-dependent inputs of a decision: the monotonic clock, the wall clock and a random
/// number.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, jobs::Now};
/// let now = Now::new(Millis(5), 1_700_000_000_000, 42);
/// assert_eq!(now.jitter(100, 50), 142);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Constructor)]
pub struct Now {
    /// The process's monotonic clock, which determines the expiry of all leases.
    pub clock: Millis,
    /// Milliseconds since the Unix epoch, for records that other processes read. The clocks of two
    /// VMs differ, so only display and back-off may depend on this value.
    pub wall_ms: u64,
    /// A random number, drawn for each event.
    pub random: u64,
}

impl Now {
    /// Returns `base` plus a random part below `spread`, which distributes the retries of several
    /// processes over time.
    #[must_use]
    pub const fn jitter(&self, base: u64, spread: u64) -> u64 {
        if spread == 0 { base } else { base.saturating_add(self.random % spread) }
    }
}
