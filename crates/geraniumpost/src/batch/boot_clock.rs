use std::time::Duration;

use geraniumpost_batch::Now;
use nix::time::{ClockId, clock_gettime};

/// Monotonic clock that keeps running while the VM is suspended (`CLOCK_BOOTTIME`). Comments call
/// it "the monotonic clock".
///
/// If the clock stopped during a suspension, a lease would still seem valid afterwards, although
/// the coordinator may have restarted the tasks on other minions. The tasks would run twice.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the VM started, in milliseconds.
    pub fn now_ms(self) -> u64 {
        // Every supported Linux has this clock; `CLOCK_MONOTONIC` is the closest substitute.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
            .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
        time.map_or(0, |time| Duration::from(time).as_millis() as u64)
    }

    /// Returns the present time on this clock and on the wall clock.
    pub fn now(self) -> Now {
        Now { steady_ms: self.now_ms(), wall_ms: crate::wall_ms() }
    }
}
