use std::sync::Arc;

use super::AgentGauge;

/// Counts one request at an agent for as long as it lives; see [`AgentGauge::begin`].
#[derive(Debug)]
pub struct InFlight(Arc<AgentGauge>);

impl InFlight {
    pub(super) const fn new(gauge: Arc<AgentGauge>) -> Self {
        Self(gauge)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.end();
    }
}
