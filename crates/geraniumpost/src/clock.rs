use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use geraniumpost_core::Millis;

/// The process's monotonic clock, which turns instants into the core's [`Millis`].
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock. It begins a second late, so that no instant is 0, which some records take
    /// for "never".
    pub fn start() -> Self {
        let now = Instant::now();
        Self(now.checked_sub(Duration::from_secs(1)).unwrap_or(now))
    }

    /// Returns the present time.
    pub fn now(&self) -> Millis {
        Millis(self.0.elapsed().as_millis() as u64)
    }

    /// Returns the time left until `deadline`.
    pub fn until(&self, deadline: Millis) -> Duration {
        Duration::from_millis(deadline.since(self.now()))
    }
}

/// Returns the wall clock in milliseconds since 1970, for records that outlive the process. It may
/// jump, so nothing that must hold is decided by it.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
