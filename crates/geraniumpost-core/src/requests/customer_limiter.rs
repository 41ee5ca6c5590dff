use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use super::Permit;

/// Limits the number of requests that one customer has in flight at an entry.
#[derive(Debug)]
pub struct CustomerLimiter {
    in_flight: AtomicU32,
    max_in_flight: AtomicU32,
}

impl CustomerLimiter {
    /// Returns a limiter that admits `max_in_flight` concurrent requests.
    pub const fn new(max_in_flight: u32) -> Self {
        Self { in_flight: AtomicU32::new(0), max_in_flight: AtomicU32::new(max_in_flight) }
    }

    /// Admits one request, which counts as in flight until the returned permit is dropped. Returns
    /// `None` if the limit is reached.
    ///
    /// The counter is incremented first and decremented on refusal, so that two requests can never
    /// both take the last permit.
    pub fn try_acquire(self: &Arc<Self>) -> Option<Permit> {
        let before = self.in_flight.fetch_add(1, Relaxed);
        if before >= self.max_in_flight.load(Relaxed) {
            self.release();
            return None;
        }
        Some(Permit::new(Arc::clone(self)))
    }

    /// Number of requests of the customer in flight at this entry.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    pub(super) fn release(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    pub(super) fn set_max_in_flight(&self, max_in_flight: u32) {
        self.max_in_flight.store(max_in_flight, Relaxed);
    }
}
