use std::sync::Arc;

use super::AgentCounters;

/// A request counts as in flight at an agent until its guard is dropped; see
/// [`AgentCounters::begin_request`].
#[derive(Debug)]
pub struct InFlightGuard(Arc<AgentCounters>);

impl InFlightGuard {
    pub(super) const fn new(counters: Arc<AgentCounters>) -> Self {
        Self(counters)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}
