use crate::Millis;

/// A request counts as long if its mean service time exceeds the shortest mean by this factor. If
/// long requests occupy all of eight slots, the wait for a free slot takes at least half the
/// service time of a short request.
const LONG_REQUEST_FACTOR: u64 = 8;
/// Time for which a customer counts as active after its last request.
pub(super) const ACTIVE_WINDOW_MS: u64 = 1_000;
/// Minimum interval at which the use of slots is measured.
const MEASUREMENT_INTERVAL_MS: u64 = 200;
/// Thousandths of a slot that are reserved in addition to those used by customers with short
/// requests.
const SPARE_MILLI_SLOTS: u64 = 500;

/// Use of slots by one customer, from which [`SlotReserve`] is computed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlotUse {
    pub(super) mean_us: u64,
    pub(super) weight: u32,
    pub(super) busy_milli_slots: u64,
    pub(super) last_request_at: Millis,
}

/// Slots that are not available to long requests while customers with short requests are active.
///
/// Fair queueing decides only which request gets the next free slot; no run is interrupted. When
/// long studies of one customer occupy every slot for seconds, a short check of another customer
/// waits for the first study to end even if the other customer has used no slot. A few slots are
/// therefore reserved for short requests: as many as customers with short requests use plus half a
/// slot, but not more than the share of these customers, and at least one.
#[derive(Debug, Clone)]
pub(super) struct SlotReserve {
    shortest_mean_us: u64,
    reserved_slots: usize,
    measured_at: Millis,
}

impl SlotReserve {
    pub(super) const fn new() -> Self {
        Self { shortest_mean_us: u64::MAX, reserved_slots: 1, measured_at: Millis(0) }
    }

    /// Lowers the shortest mean service time to that of an active customer, without waiting for the
    /// next measurement. A mean of 0 is unknown and ignored.
    pub(super) fn record_active_mean_us(&mut self, mean_us: u64) {
        if mean_us > 0 {
            self.shortest_mean_us = self.shortest_mean_us.min(mean_us);
        }
    }

    /// Whether `mean_us` is more than [`LONG_REQUEST_FACTOR`] times the shortest mean service time
    /// of the active customers.
    pub(super) const fn is_long(&self, mean_us: u64) -> bool {
        mean_us / LONG_REQUEST_FACTOR > self.shortest_mean_us
    }

    /// Whether another long request may start while `running_long` of `slots` slots run long
    /// requests.
    pub(super) fn allows_long_request(&self, running_long: usize, slots: usize) -> bool {
        running_long + self.reserved_slots.min(slots.saturating_sub(1)) < slots
    }

    /// Starts a new measurement window if one is due, and returns the length of the previous window
    /// in milliseconds.
    pub(super) fn restart_window_if_due(&mut self, now: Millis) -> Option<u64> {
        let window_ms = now.since(self.measured_at);
        if window_ms < MEASUREMENT_INTERVAL_MS {
            return None;
        }
        self.measured_at = now;
        Some(window_ms)
    }

    /// Recomputes the shortest mean service time and the reserved slots from the `uses` of all
    /// customers of a minion with `slots` slots.
    pub(super) fn recompute(&mut self, uses: &[SlotUse], slots: usize, now: Millis) {
        let active = || {
            uses.iter().filter(|customer| now.since(customer.last_request_at) <= ACTIVE_WINDOW_MS)
        };
        let known_means = active().map(|customer| customer.mean_us).filter(|&mean_us| mean_us > 0);
        self.shortest_mean_us = known_means.min().unwrap_or(u64::MAX);
        let short = || active().filter(|customer| !self.is_long(customer.mean_us));
        let short_busy_milli_slots: u64 = short().map(|customer| customer.busy_milli_slots).sum();
        let short_weight: u64 = short().map(|customer| u64::from(customer.weight)).sum();
        let total_weight: u64 = active().map(|customer| u64::from(customer.weight)).sum();
        let share = (slots as u64 * short_weight).div_ceil(total_weight.max(1));
        let needed = (short_busy_milli_slots + SPARE_MILLI_SLOTS).div_ceil(1000);
        self.reserved_slots = needed.min(share).max(1) as usize;
    }
}
