use crate::{Millis, placement::WorkerState};

/// What the planner knows of an agent.
#[derive(Debug, Clone, Default)]
pub(super) struct AgentView {
    /// Incarnation at the other end of the link, if there is a link.
    pub(super) link: Option<u64>,
    /// Whether that incarnation has listed its runs under this planner's term.
    pub(super) inventoried: bool,
    pub(super) asked: Millis,
    pub(super) draining: bool,
    pub(super) quarantined: bool,
    /// When the last hold granted to it ends.
    pub(super) hold_until: Millis,
    /// State last shown to placement.
    pub(super) shown: WorkerState,
}

impl AgentView {
    /// Returns the incarnation that orders may be sent to.
    pub(super) const fn ready(&self) -> Option<u64> {
        if self.inventoried { self.link } else { None }
    }

    /// Returns how placement is to see the worker.
    pub(super) fn worker_state(&self, now: Millis) -> WorkerState {
        if self.draining {
            WorkerState::Draining
        } else if self.ready().is_none() || now >= self.hold_until {
            WorkerState::Lost
        } else if self.quarantined {
            WorkerState::Quarantined
        } else {
            WorkerState::Healthy
        }
    }
}
