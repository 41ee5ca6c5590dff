use std::time::{Duration, Instant};

/// Length of the window in which calls are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Rate limiter with fixed windows.
#[derive(Debug, Default)]
pub(super) struct Limiter {
    window_start: Option<Instant>,
    calls: u64,
}

impl Limiter {
    /// Counts a call, and returns whether at most `limit` were made in this window; 0 is no limit.
    pub(super) fn admit(&mut self, limit: u64, now: Instant) -> bool {
        if self.window_start.is_none_or(|start| now.duration_since(start) >= WINDOW) {
            self.window_start = Some(now);
            self.calls = 0;
        }
        self.calls += 1;
        limit == 0 || self.calls <= limit
    }
}
