use std::time::Duration;

use geraniumpost_batch::Now;
use nix::time::{ClockId, clock_gettime};

/// The clock that runs on while the VM is suspended.
///
/// A lease counted on a clock that stands still during a suspension would seem valid after it,
/// although whoever granted it has given the work to others since. Users would see work done twice.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns milliseconds since the VM started.
    pub fn now_ms(self) -> u64 {
        // The clock is there on every Linux; without it the monotonic one is the nearest.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
            .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
        time.map_or(0, |time| Duration::from(time).as_millis() as u64)
    }

    /// Returns the present on both clocks that the coordinator needs.
    pub fn now(self) -> Now {
        Now { steady_ms: self.now_ms(), wall_ms: crate::wall_ms() }
    }
}
