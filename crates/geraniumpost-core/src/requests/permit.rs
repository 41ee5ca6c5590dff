use std::sync::Arc;

use super::CustomerLimiter;

/// Counts one request of a customer as in flight until it is dropped.
#[derive(Debug)]
pub struct Permit(Arc<CustomerLimiter>);

impl Permit {
    pub(super) const fn new(limiter: Arc<CustomerLimiter>) -> Self {
        Self(limiter)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.release();
    }
}
