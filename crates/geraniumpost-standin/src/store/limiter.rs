use std::time::{Duration, Instant};

/// Length of a window of the limiter.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts calls in windows of one second.
#[derive(Debug, Default)]
pub(super) struct Limiter {
    window: Option<Instant>,
    taken: u64,
}

impl Limiter {
    /// Takes one call if fewer than `limit` were taken in this window; 0 is no limit.
    pub(super) fn take(&mut self, limit: u64, now: Instant) -> bool {
        if self.window.is_none_or(|start| now.duration_since(start) >= WINDOW) {
            self.window = Some(now);
            self.taken = 0;
        }
        self.taken += 1;
        limit == 0 || self.taken <= limit
    }
}
