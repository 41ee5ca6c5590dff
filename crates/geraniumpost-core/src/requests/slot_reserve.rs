use crate::Millis;

/// Requests that take this many times as long as the briskest customer's are long. Waiting for one
/// of eight slots then takes half a brisk request's time or more.
const LONG_TIMES: u64 = 8;
/// How long a customer counts as active after its last request.
pub(super) const ACTIVE_MS: u64 = 1_000;
/// How often the use of slots is measured.
const WINDOW_MS: u64 = 200;
/// Thousandths of a slot kept free beyond what brisk customers use.
const SPARE_MILLI: u64 = 500;

/// One customer's use of slots, as the reserve is computed from it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlotUse {
    pub(super) mean_us: u64,
    pub(super) weight: u32,
    pub(super) busy_milli: u64,
    pub(super) used_at: Millis,
}

/// Slots kept from customers whose requests run long while customers with brisk requests are active.
///
/// Fair queueing alone decides who takes the next free slot, but no run is interrupted. When one
/// customer's studies take every slot for seconds, another's check waits for the first study to
/// end although its customer has used nothing. So a few slots stay free of long requests: as many
/// as the brisk customers use and half a one more, but not more than their share.
#[derive(Debug, Clone)]
pub(super) struct SlotReserve {
    brisk_us: u64,
    slots: usize,
    measured_at: Millis,
}

impl SlotReserve {
    pub(super) const fn new() -> Self {
        Self { brisk_us: u64::MAX, slots: 1, measured_at: Millis(0) }
    }

    /// Takes in at once that a customer with this mean service time, 0 if unknown, is active.
    pub(super) fn note(&mut self, mean_us: u64) {
        if mean_us > 0 {
            self.brisk_us = self.brisk_us.min(mean_us);
        }
    }

    /// Whether requests of this mean service time count as long.
    pub(super) const fn is_long(&self, mean_us: u64) -> bool {
        mean_us / LONG_TIMES > self.brisk_us
    }

    /// Whether one more long request may start when `held` of `slots` hold long ones.
    pub(super) fn leaves_room(&self, held: usize, slots: usize) -> bool {
        held + self.slots.min(slots.saturating_sub(1)) < slots
    }

    /// Milliseconds since the use of slots was last measured, if it is time to measure again.
    pub(super) fn window(&mut self, now: Millis) -> Option<u64> {
        let window = now.since(self.measured_at);
        if window < WINDOW_MS {
            return None;
        }
        self.measured_at = now;
        Some(window)
    }

    /// Computes the reserve anew from all customers' use of `slots`.
    pub(super) fn refresh(&mut self, uses: &[SlotUse], slots: usize, now: Millis) {
        let active = || uses.iter().filter(|one| now.since(one.used_at) <= ACTIVE_MS);
        let known = active().map(|one| one.mean_us).filter(|&mean_us| mean_us > 0);
        self.brisk_us = known.min().unwrap_or(u64::MAX);
        let brisk = || active().filter(|one| !self.is_long(one.mean_us));
        let busy: u64 = brisk().map(|one| one.busy_milli).sum();
        let weight: u64 = brisk().map(|one| u64::from(one.weight)).sum();
        let weights: u64 = active().map(|one| u64::from(one.weight)).sum();
        let share = (slots as u64 * weight).div_ceil(weights.max(1));
        let wanted = (busy + SPARE_MILLI).div_ceil(1000);
        self.slots = wanted.min(share).max(1) as usize;
    }
}
