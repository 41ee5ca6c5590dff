use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Milliseconds on the process's monotonic clock, passed in by the shell.
///
/// Values of two processes are never compared, because each clock has its own origin.
///
/// # Example
///
/// ```
/// use geraniumpost_core::Millis;
/// let expiry = Millis(100).plus(50);
/// assert_eq!(expiry.since(Millis(120)), 30);
/// ```
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the instant `ms` milliseconds later, or the maximum value on overflow.
    #[must_use]
    pub const fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds from `earlier` to this instant, 0 if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A duration in microseconds, the unit of service times.
#[derive(
    Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into,
)]
pub struct Micros(pub u64);
