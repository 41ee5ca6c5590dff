use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use geraniumpost_core::Millis;

/// Monotonic clock of the process, with times as [`Millis`] since its start.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at one second instead of 0, because some records use 0 for "never".
    pub fn start() -> Self {
        let now = Instant::now();
        Self(now.checked_sub(Duration::from_secs(1)).unwrap_or(now))
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        Millis(self.0.elapsed().as_millis() as u64)
    }

    /// Returns the time remaining until `deadline`, zero if it has passed.
    pub fn until(&self, deadline: Millis) -> Duration {
        Duration::from_millis(deadline.since(self.now()))
    }
}

/// Returns the wall-clock time in milliseconds since 1970, for records that outlive the process.
/// The clock may jump, so it must not be used for leases or deadlines.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
