use std::sync::Arc;

use geraniumpost_schema::{AgentState, Heartbeat};

use super::{AgentCounters, AgentView};
use crate::Millis;

/// Number of superseded incarnations remembered for each agent.
const MAX_RETIRED_INCARNATIONS: usize = 8;

/// State of an incarnation that has been superseded by another incarnation of the same agent.
#[derive(Debug, Clone, Copy)]
pub(super) struct RetiredIncarnation {
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) state: AgentState,
}

/// Last heartbeat of one agent, and the state derived from its heartbeats and its link.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) heartbeat: Heartbeat,
    pub(super) last_heard: Millis,
    pub(super) alive: bool,
    pub(super) connected: bool,
    pub(super) counters: Arc<AgentCounters>,
    pub(super) retired: Vec<RetiredIncarnation>,
}

impl Member {
    pub(super) fn new(heartbeat: &Heartbeat, now: Millis) -> Self {
        let counters = AgentCounters::default();
        counters.record_load(&heartbeat.load, now);
        Self {
            heartbeat: heartbeat.clone(),
            last_heard: now,
            alive: true,
            connected: false,
            counters: Arc::new(counters),
            retired: Vec::new(),
        }
    }

    /// Applies a newer heartbeat of the same incarnation. Returns whether a property that routing
    /// uses has changed, other than the load and the state.
    ///
    /// Draining is final for an incarnation. Otherwise a ready state sent before the announcement
    /// and received after it would direct new work to a process that is about to exit.
    pub(super) fn refresh(&mut self, heartbeat: &Heartbeat, now: Millis) -> bool {
        let mut updated = heartbeat.clone();
        if self.heartbeat.state == AgentState::Draining {
            updated.state = AgentState::Draining;
        }
        let changed = updated.service != self.heartbeat.service
            || updated.region != self.heartbeat.region
            || updated.domain != self.heartbeat.domain
            || updated.address != self.heartbeat.address
            || updated.slots != self.heartbeat.slots;
        self.heartbeat = updated;
        self.last_heard = now;
        self.counters.record_load(&heartbeat.load, now);
        changed
    }

    /// Replaces the current incarnation by that of `heartbeat` and adds the former incarnation to
    /// `retired`.
    pub(super) fn replace_incarnation(&mut self, heartbeat: &Heartbeat, now: Millis) {
        let Heartbeat { incarnation, sequence, state, .. } = self.heartbeat;
        let mut retired = std::mem::take(&mut self.retired);
        let known = retired.iter().position(|known| known.incarnation == heartbeat.incarnation);
        let previous_state = known.map(|index| retired.remove(index).state);
        retired.push(RetiredIncarnation { incarnation, sequence, state });
        if retired.len() > MAX_RETIRED_INCARNATIONS {
            retired.remove(0);
        }
        *self = Self { retired, ..Self::new(heartbeat, now) };
        if previous_state == Some(AgentState::Draining) {
            self.heartbeat.state = AgentState::Draining;
        }
    }

    pub(super) fn view(&self) -> AgentView {
        AgentView::from(&self.heartbeat)
            .connected(self.connected)
            .with_counters(Arc::clone(&self.counters))
    }
}
