use std::sync::Arc;

use super::CustomerLimiter;

/// Counts one request of a customer for as long as it lives.
#[derive(Debug)]
pub struct Permit(Arc<CustomerLimiter>);

impl Permit {
    pub(super) const fn new(gate: Arc<CustomerLimiter>) -> Self {
        Self(gate)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.release();
    }
}
