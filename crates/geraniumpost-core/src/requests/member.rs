use std::sync::Arc;

use geraniumpost_schema::{AgentState, Heartbeat};

use super::{AgentGauge, AgentView};
use crate::Millis;

/// Superseded incarnations that are remembered of one agent.
const MOST_RETIRED: usize = 8;

/// An incarnation that another one of the same name has superseded.
#[derive(Debug, Clone, Copy)]
pub(super) struct Retired {
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) state: AgentState,
}

/// What the [`super::Membership`] knows of one agent.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) beat: Heartbeat,
    pub(super) heard_at: Millis,
    pub(super) alive: bool,
    pub(super) connected: bool,
    pub(super) gauge: Arc<AgentGauge>,
    pub(super) retired: Vec<Retired>,
}

impl Member {
    pub(super) fn new(beat: &Heartbeat, now: Millis) -> Self {
        let gauge = AgentGauge::default();
        gauge.record_load(&beat.load, now);
        Self {
            beat: beat.clone(),
            heard_at: now,
            alive: true,
            connected: false,
            gauge: Arc::new(gauge),
            retired: Vec::new(),
        }
    }

    /// Takes in a newer heartbeat of the same incarnation; returns whether routing is affected.
    ///
    /// Leaving is final for an incarnation: a heartbeat that was sent before the announcement may
    /// arrive after it, and would otherwise send new work to a process that is about to end.
    pub(super) fn refresh(&mut self, beat: &Heartbeat, now: Millis) -> bool {
        let mut next = beat.clone();
        if self.beat.state == AgentState::Draining {
            next.state = AgentState::Draining;
        }
        let changed = next.service != self.beat.service
            || next.region != self.beat.region
            || next.domain != self.beat.domain
            || next.address != self.beat.address
            || next.slots != self.beat.slots;
        self.beat = next;
        self.heard_at = now;
        self.gauge.record_load(&beat.load, now);
        changed
    }

    /// Starts over with a new incarnation and remembers the old one.
    pub(super) fn supersede(&mut self, beat: &Heartbeat, now: Millis) {
        let Heartbeat { incarnation, sequence, state, .. } = self.beat;
        let mut retired = std::mem::take(&mut self.retired);
        let known = retired.iter().position(|known| known.incarnation == beat.incarnation);
        let was = known.map(|index| retired.remove(index).state);
        retired.push(Retired { incarnation, sequence, state });
        if retired.len() > MOST_RETIRED {
            retired.remove(0);
        }
        *self = Self { retired, ..Self::new(beat, now) };
        if was == Some(AgentState::Draining) {
            self.beat.state = AgentState::Draining;
        }
    }

    pub(super) fn view(&self) -> AgentView {
        AgentView::from(&self.beat).connected(self.connected).gauge(Arc::clone(&self.gauge))
    }
}
