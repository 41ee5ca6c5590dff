use std::collections::VecDeque;

use super::Waiting;
use super::service_times::smooth;
use crate::{Micros, Millis};

/// Virtual time that one microsecond of a slot costs a customer of weight 1.
const SCALE: u64 = 1024;

/// One customer's requests at one minion, and how much of the minion it has used.
#[derive(Debug)]
pub(super) struct Flow<T> {
    pub(super) weight: u32,
    pub(super) virtual_time: u64,
    pub(super) queue: VecDeque<Waiting<T>>,
    pub(super) running: usize,
    pub(super) service_us: u64,
    pub(super) used_at: Millis,
}

impl<T> Flow<T> {
    pub(super) const fn new(service_us: u64) -> Self {
        Self {
            weight: 1,
            virtual_time: 0,
            queue: VecDeque::new(),
            running: 0,
            service_us,
            used_at: Millis(0),
        }
    }

    /// Whether the customer has nothing at the minion.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0
    }

    /// Charges the customer for a run expected to take the smoothed time; returns the charge.
    pub(super) fn charge(&mut self) -> u64 {
        let charge = self.cost(self.service_us);
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
        if success {
            self.service_us = smooth(self.service_us, took.0);
        }
    }

    /// Requests at the minion per weight, scaled to whole numbers.
    pub(super) fn occupancy(&self, more: usize) -> u64 {
        (self.queue.len() + self.running + more) as u64 * SCALE / u64::from(self.weight)
    }

    /// Whether a request started now would miss `deadline` by the smoothed service time.
    pub(super) const fn misses(&self, deadline: Millis, now: Millis) -> bool {
        now.0 >= deadline.0 || now.0 + self.service_us / 1000 > deadline.0
    }

    fn cost(&self, us: u64) -> u64 {
        us.max(1).saturating_mul(SCALE) / u64::from(self.weight)
    }
}
