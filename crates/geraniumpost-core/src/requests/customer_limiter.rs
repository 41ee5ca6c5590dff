use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use super::Permit;

/// Bound on the requests that one customer has in flight at an entry.
#[derive(Debug)]
pub struct CustomerLimiter {
    in_flight: AtomicU32,
    most: AtomicU32,
}

impl CustomerLimiter {
    /// Returns a gate that lets `most` requests in at once.
    pub const fn new(most: u32) -> Self {
        Self { in_flight: AtomicU32::new(0), most: AtomicU32::new(most) }
    }

    /// Lets one request in until the permit is dropped, unless the bound is reached.
    ///
    /// Counts first and takes back on refusal, so that two requests can never both take the last
    /// place.
    pub fn try_acquire(self: &Arc<Self>) -> Option<Permit> {
        let before = self.in_flight.fetch_add(1, Relaxed);
        if before >= self.most.load(Relaxed) {
            self.release();
            return None;
        }
        Some(Permit::new(Arc::clone(self)))
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    pub(super) fn release(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    pub(super) fn set_most(&self, most: u32) {
        self.most.store(most, Relaxed);
    }
}
