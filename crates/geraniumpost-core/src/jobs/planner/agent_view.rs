use crate::{Millis, placement::WorkerState};

/// State of an agent as known to the planner.
#[derive(Debug, Clone, Default)]
pub(super) struct AgentView {
    /// Incarnation of the linked agent process, `None` without a link.
    pub(super) link: Option<u64>,
    /// Whether that incarnation has sent its inventory under this planner's term.
    pub(super) inventory_received: bool,
    pub(super) inventory_requested_at: Millis,
    pub(super) draining: bool,
    pub(super) quarantined: bool,
    /// End of the last lease granted to the agent.
    pub(super) lease_until: Millis,
    /// State that placement currently uses.
    pub(super) placement_state: WorkerState,
}

impl AgentView {
    /// Returns the incarnation that orders may be sent to, `None` before its inventory was
    /// received.
    pub(super) const fn ready_incarnation(&self) -> Option<u64> {
        if self.inventory_received { self.link } else { None }
    }

    /// Returns the worker state for placement. If several apply, draining takes precedence, then
    /// lost, then quarantined.
    pub(super) fn worker_state(&self, now: Millis) -> WorkerState {
        if self.draining {
            WorkerState::Draining
        } else if self.ready_incarnation().is_none() || now >= self.lease_until {
            WorkerState::Lost
        } else if self.quarantined {
            WorkerState::Quarantined
        } else {
            WorkerState::Healthy
        }
    }
}
