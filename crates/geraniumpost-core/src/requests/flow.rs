use std::collections::VecDeque;

use super::QueuedRequest;
use super::slot_reserve::{ACTIVE_MS, SlotUse};
use super::smoothed::Smoothed;
use crate::{Micros, Millis};

/// Virtual time that one microsecond of a slot costs a customer of weight 1.
const SCALE: u64 = 1024;

/// One customer's requests at one minion, and how much of the minion it has used.
#[derive(Debug)]
pub(super) struct Flow<T> {
    pub(super) weight: u32,
    pub(super) virtual_time: u64,
    pub(super) queue: VecDeque<QueuedRequest<T>>,
    pub(super) running: usize,
    pub(super) service: Smoothed,
    pub(super) used_at: Millis,
    used_us: u64,
    busy_milli: u64,
}

impl<T> Flow<T> {
    pub(super) const fn new(service: Smoothed) -> Self {
        Self {
            weight: 1,
            virtual_time: 0,
            queue: VecDeque::new(),
            running: 0,
            service,
            used_at: Millis(0),
            used_us: 0,
            busy_milli: 0,
        }
    }

    /// Whether the customer has nothing at the minion.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0
    }

    /// Whether the customer asked for something of late.
    pub(super) const fn is_active(&self, now: Millis) -> bool {
        now.since(self.used_at) <= ACTIVE_MS
    }

    /// Charges the customer for a run expected to take the smoothed time; returns the charge.
    pub(super) fn charge(&mut self) -> u64 {
        let charge = self.cost(self.service.mean_us());
        self.virtual_time = self.virtual_time.saturating_add(charge);
        self.running += 1;
        charge
    }

    /// Replaces the expected charge by the real one, so that a customer whose requests run long
    /// pays for the slot time it took and not for their number.
    pub(super) fn settle(&mut self, charged: u64, took: Micros, success: bool) {
        let real = self.cost(took.0);
        self.virtual_time = self.virtual_time.saturating_sub(charged).saturating_add(real);
        self.running -= 1;
        self.used_us = self.used_us.saturating_add(took.0);
        if success {
            self.service.record(took.0);
        }
    }

    /// Brings a customer that had nothing waiting up to the present, less a burst allowance.
    ///
    /// Without the first a customer could save up credit while it was idle and then shut others
    /// out. Without the second a customer that uses less than its share on average still waits as
    /// if it used all of it whenever a few of its requests come together.
    pub(super) fn wake(&mut self, present: u64, allowance_us: u64) {
        let allowance = self.cost(allowance_us);
        self.virtual_time = self.virtual_time.max(present.saturating_sub(allowance));
    }

    /// Ends a window of `window_ms` in which the customer's use of slots was measured.
    pub(super) fn measure(&mut self, window_ms: u64) {
        let milli = std::mem::take(&mut self.used_us) / window_ms.max(1);
        self.busy_milli = (self.busy_milli * 3 + milli) / 4;
    }

    /// Slots used of late, in thousandths.
    pub(super) const fn busy_milli(&self) -> u64 {
        self.busy_milli
    }

    pub(super) const fn slot_use(&self) -> SlotUse {
        SlotUse {
            mean_us: self.service.mean_us(),
            weight: self.weight,
            busy_milli: self.busy_milli,
            used_at: self.used_at,
        }
    }

    /// Requests at the minion per weight, scaled to whole numbers.
    pub(super) fn occupancy(&self, more: usize) -> u64 {
        (self.queue.len() + self.running + more) as u64 * SCALE / u64::from(self.weight)
    }

    /// Whether a request started now would miss `deadline` by the smoothed service time.
    pub(super) const fn misses(&self, deadline: Millis, now: Millis) -> bool {
        now.0 >= deadline.0 || now.0 + self.service.mostly_us() / 1000 > deadline.0
    }

    fn cost(&self, us: u64) -> u64 {
        us.max(1).saturating_mul(SCALE) / u64::from(self.weight)
    }
}
