use std::sync::Arc;

use super::AgentGauge;

/// Counts one request at an agent for as long as it lives; see [`AgentGauge::begin_request`].
#[derive(Debug)]
pub struct InFlightGuard(Arc<AgentGauge>);

impl InFlightGuard {
    pub(super) const fn new(gauge: Arc<AgentGauge>) -> Self {
        Self(gauge)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.end();
    }
}
