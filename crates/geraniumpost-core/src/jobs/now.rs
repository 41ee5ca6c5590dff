use derive_more::Constructor;

use crate::Millis;

/// What a decision may know of the outside at the instant it is taken.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, jobs::Now};
/// let moment = Now::new(Millis(5), 1_700_000_000_000, 42);
/// assert_eq!(moment.jitter(100, 50), 142);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Constructor)]
pub struct Now {
    /// The process's monotonic clock; all leases and holds are judged by it.
    pub clock: Millis,
    /// Milliseconds since the Unix epoch, for records that another process reads. Clocks of two
    /// VMs differ, so that nothing but displays and back-off may depend on it.
    pub wall_ms: u64,
    /// A fresh random number.
    pub random: u64,
}

impl Now {
    /// Returns `base` plus a random part below `spread`, so that retries don't come in step.
    #[must_use]
    pub const fn jitter(&self, base: u64, spread: u64) -> u64 {
        if spread == 0 { base } else { base.saturating_add(self.random % spread) }
    }
}
