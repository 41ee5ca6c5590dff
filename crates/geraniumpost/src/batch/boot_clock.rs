use std::time::Duration;

use geraniumpost_batch::Now;
use nix::time::{ClockId, clock_gettime};

/// The clock that keeps running while the VM is suspended.
///
/// On a clock that stops during a suspension a lease would still seem valid afterwards, although
/// the coordinator has assigned the work to other minions since. The work would be done twice.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns milliseconds since the VM started.
    pub fn now_ms(self) -> u64 {
        // Every Linux has this clock; the monotonic one is the closest substitute.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
            .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
        time.map_or(0, |time| Duration::from(time).as_millis() as u64)
    }

    /// Returns the present time on the monotonic clock and on the wall clock.
    pub fn now(self) -> Now {
        Now { steady_ms: self.now_ms(), wall_ms: crate::wall_ms() }
    }
}
