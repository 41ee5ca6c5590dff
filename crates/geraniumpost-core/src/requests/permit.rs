use std::sync::Arc;

use super::CustomerLimiter;

/// Permission for one request of a customer, which counts as in flight at the entry until the
/// permit is dropped.
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
