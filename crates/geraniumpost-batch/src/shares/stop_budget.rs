/// Number of minions for each of which one run may be stopped within a second. Each stop costs work
/// and two writes to the store, and runs that were stopped have to be placed again.
const MINIONS_PER_STOP: u64 = 4;
/// Minimum number of stops within a second, for small fleets.
const MIN_STOPS_PER_SECOND: u64 = 2;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Limits how many runs are stopped for more urgent tasks within a second, in relation to the size
/// of the fleet. Without this limit, jobs that take turns in being urgent would stop each other's
/// runs until none makes progress.
#[derive(Debug, Clone, Copy, Default)]
pub struct StopBudget {
    /// Available stops, in thousandths.
    milli_stops: u64,
    /// Time up to which stops were added, on the monotonic clock; `None` before the first time.
    added_ms: Option<u64>,
}

impl StopBudget {
    /// Returns a budget to which nothing was added yet.
    pub const fn new() -> Self {
        Self { milli_stops: 0, added_ms: None }
    }

    /// Adds the stops that have become available by `now_ms`, on the monotonic clock. The first
    /// call adds the stops of one second, which is the maximum.
    pub fn refill(&mut self, minions: usize, now_ms: u64) {
        let per_second = (minions as u64 / MINIONS_PER_STOP).max(MIN_STOPS_PER_SECOND);
        let elapsed_ms = self.added_ms.map_or(MILLIS_PER_SECOND, |at| now_ms.saturating_sub(at));
        self.added_ms = Some(now_ms);
        let maximum = per_second * MILLIS_PER_SECOND;
        self.milli_stops = (self.milli_stops + elapsed_ms * per_second).min(maximum);
    }

    /// Returns whether a stop is available.
    pub const fn has_any(self) -> bool {
        self.milli_stops >= MILLIS_PER_SECOND
    }

    /// Takes `stops` from the budget. Returns false, and takes nothing, if fewer are available.
    pub const fn take(&mut self, stops: usize) -> bool {
        let needed = stops as u64 * MILLIS_PER_SECOND;
        if needed > self.milli_stops {
            return false;
        }
        self.milli_stops -= needed;
        true
    }
}
