use std::sync::Arc;

use super::CustomerGate;

/// Counts one request of a customer for as long as it lives.
#[derive(Debug)]
pub struct Permit(Arc<CustomerGate>);

impl Permit {
    pub(super) const fn new(gate: Arc<CustomerGate>) -> Self {
        Self(gate)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.leave();
    }
}
