use std::collections::VecDeque;

use super::QueuedRequest;
use super::slot_reserve::{ACTIVE_WINDOW_MS, SlotUse};
use super::smoothed_time::SmoothedTime;
use crate::{Micros, Millis};

/// Virtual time of one microsecond of slot time at weight 1. Also scales
/// [`Flow::weighted_request_count`].
const WEIGHT_SCALE: u64 = 1024;

/// Waiting requests of one customer at one minion, and the slot time that the customer uses.
#[derive(Debug)]
pub(super) struct Flow<T> {
    pub(super) weight: u32,
    pub(super) virtual_time: u64,
    pub(super) queue: VecDeque<QueuedRequest<T>>,
    pub(super) running: usize,
    pub(super) service_time: SmoothedTime,
    pub(super) last_request_at: Millis,
    used_us: u64,
    busy_milli_slots: u64,
}

impl<T> Flow<T> {
    pub(super) const fn new(service_time: SmoothedTime) -> Self {
        Self {
            weight: 1,
            virtual_time: 0,
            queue: VecDeque::new(),
            running: 0,
            service_time,
            last_request_at: Millis(0),
            used_us: 0,
            busy_milli_slots: 0,
        }
    }

    /// Whether no request of the customer waits or runs.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0
    }

    /// Whether the customer sent a request in the last [`ACTIVE_WINDOW_MS`].
    pub(super) const fn is_active(&self, now: Millis) -> bool {
        now.since(self.last_request_at) <= ACTIVE_WINDOW_MS
    }

    /// Charges the customer for the start of a run, which is expected to take the smoothed service
    /// time. Returns the charge in virtual time.
    pub(super) fn charge(&mut self) -> u64 {
        let charge = self.virtual_cost(self.service_time.mean_us());
        self.virtual_time = self.virtual_time.saturating_add(charge);
        self.running += 1;
        charge
    }

    /// Replaces the charge of an ended run by the cost of its duration, so that a customer with
    /// long requests pays for the slot time used and not for the number of requests.
    pub(super) fn settle(&mut self, charged: u64, duration: Micros, success: bool) {
        let actual = self.virtual_cost(duration.0);
        self.virtual_time = self.virtual_time.saturating_sub(charged).saturating_add(actual);
        self.running -= 1;
        self.used_us = self.used_us.saturating_add(duration.0);
        if success {
            self.service_time.record(duration.0);
        }
    }

    /// Moves the virtual time of a customer without waiting requests forward to `current`, the
    /// virtual time of the queue, less a burst allowance. A later virtual time is kept.
    ///
    /// Without moving forward, a customer could accumulate credit while idle and then lock out the
    /// others. Without the allowance, a customer that uses less than its share on average would
    /// wait as if it used its whole share whenever a few of its requests arrive together.
    pub(super) fn activate(&mut self, current: u64, allowance_us: u64) {
        let allowance = self.virtual_cost(allowance_us);
        self.virtual_time = self.virtual_time.max(current.saturating_sub(allowance));
    }

    /// Updates the smoothed use of slots at the end of a measurement window of `window_ms`.
    pub(super) fn measure_slot_use(&mut self, window_ms: u64) {
        let recent_milli_slots = std::mem::take(&mut self.used_us) / window_ms.max(1);
        self.busy_milli_slots = (self.busy_milli_slots * 3 + recent_milli_slots) / 4;
    }

    /// Smoothed number of slots that the customer uses, in thousandths.
    pub(super) const fn busy_milli_slots(&self) -> u64 {
        self.busy_milli_slots
    }

    pub(super) const fn slot_use(&self) -> SlotUse {
        SlotUse {
            mean_us: self.service_time.mean_us(),
            weight: self.weight,
            busy_milli_slots: self.busy_milli_slots,
            last_request_at: self.last_request_at,
        }
    }

    /// Number of waiting and running requests, plus `additional`, divided by the weight; scaled by
    /// [`WEIGHT_SCALE`].
    pub(super) fn weighted_request_count(&self, additional: usize) -> u64 {
        (self.queue.len() + self.running + additional) as u64 * WEIGHT_SCALE
            / u64::from(self.weight)
    }

    /// Whether a request started at `now` would probably end after `deadline`.
    pub(super) const fn misses_deadline(&self, deadline: Millis, now: Millis) -> bool {
        now.0 >= deadline.0
            || now.0 + self.service_time.mean_plus_deviation_us() / 1000 > deadline.0
    }

    fn virtual_cost(&self, us: u64) -> u64 {
        us.max(1).saturating_mul(WEIGHT_SCALE) / u64::from(self.weight)
    }
}
