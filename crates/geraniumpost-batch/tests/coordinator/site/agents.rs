//! Links, beats and leases of agents, and agents that stop.

use geraniumpost_batch::{Effect, FromAgent, ToAgent};
use geraniumpost_schema::Name;

use super::Site;
use crate::world::agent;

/// Time between two beats of an agent, in milliseconds.
const BEAT_MS: u64 = 500;
/// By how much the next machine's agent is ahead in all it does from time to time, in milliseconds.
const PHASE_MS: u64 = 100;

impl Site {
    /// Returns which machine an incarnation belongs to.
    pub(super) fn machine_of(&self, minion: &Name) -> Option<usize> {
        self.machines.iter().position(|machine| agent(&machine.name) == agent(minion))
    }

    /// Returns whether it is time for what an agent does so often.
    pub(super) const fn is_due(&self, at: usize, every_ms: u64) -> bool {
        (self.world.now.steady_ms + PHASE_MS * at as u64).is_multiple_of(every_ms)
    }

    /// Returns whether the coordinator hears an agent.
    pub(super) fn reaches(&self, at: usize) -> bool {
        let machine = &self.machines[at];
        machine.linked && machine.path_open && !self.succession.is_vacant()
    }

    /// Returns whether an agent could open a link to the coordinator, if there is one.
    pub(super) fn may_link(&self, at: usize) -> bool {
        let machine = &self.machines[at];
        machine.agent_up && machine.path_open && !self.succession.binds(at)
    }

    /// The agent tells the coordinator something; it is lost if it cannot.
    pub(super) fn say(&mut self, at: usize, message: FromAgent) {
        if self.reaches(at) {
            let name = self.machines[at].name.clone();
            self.world.say(&name, message);
        }
        self.settle_departures();
    }

    /// The agent opens a link, if it has none.
    pub(super) fn link(&mut self, at: usize) {
        let may = self.may_link(at) && !self.succession.is_vacant();
        let machine = &mut self.machines[at];
        if machine.linked || !may || self.world.now.steady_ms < machine.link_at_ms {
            return;
        }
        let name = agent(&machine.name);
        if std::mem::replace(&mut machine.known_linked, true) {
            self.world.coordinator.agent_disconnected(&name, self.world.now);
        }
        machine.linked = true;
        self.say(at, FromAgent::Hello { agent: name });
        for minion in self.machines[at].departures.unrecorded().cloned().collect::<Vec<_>>() {
            self.say(at, FromAgent::MinionTerminated { minion });
        }
        self.tell_minion(at);
        self.beat(at);
    }

    pub(super) fn beat_if_due(&mut self, at: usize) {
        if self.is_due(at, BEAT_MS) {
            self.beat(at);
        }
    }

    /// The agent beats, and its lease is extended by whom it reaches.
    pub(super) fn beat(&mut self, at: usize) {
        let machine = &self.machines[at];
        if !machine.agent_up {
            return;
        }
        let beat = machine.beat(self.world.now.steady_ms);
        if self.succession.binds(at) {
            self.beat_to_cut_off(at, beat);
        } else {
            self.say(at, beat);
            self.extend_leases();
        }
    }

    /// The agent beats to a coordinator that is cut off from all others, and is answered as if there
    /// were no successor.
    fn beat_to_cut_off(&mut self, at: usize, beat: FromAgent) {
        let now = self.world.now;
        let Some((coordinator, _)) = &mut self.succession.cut_off else { return };
        let machine = &mut self.machines[at];
        coordinator.handle_agent_message(&agent(&machine.name), beat, now);
        for effect in coordinator.take_effects(now) {
            if let Effect::Send { message: ToAgent::Lease { lease_ms, .. }, .. } = effect
                && lease_ms > 0
            {
                machine.extend_lease(now.steady_ms + lease_ms);
            }
        }
    }

    /// Agents take in the leases that the coordinator has extended.
    fn extend_leases(&mut self) {
        for (name, sent_at_ms, lease_ms) in std::mem::take(&mut self.world.leases) {
            let machine = self.machines.iter_mut().find(|machine| agent(&machine.name) == name);
            if let Some(machine) = machine.filter(|_| lease_ms > 0) {
                machine.extend_lease(sent_at_ms + lease_ms);
            }
        }
    }

    /// Ends an agent that was asked to stop, once it has nothing to tell any more or may stay no longer.
    pub(super) fn stop_agent(&mut self, at: usize) {
        let machine = &self.machines[at];
        let Some(until_ms) = machine.stopping_ms else { return };
        if self.world.now.steady_ms >= until_ms || machine.departures.is_empty() {
            self.end_agent(at);
        }
    }

    /// Ends an agent at once. The coordinator notices if its link can close.
    pub(super) fn end_agent(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        machine.forget_agent();
        let closed = machine.known_linked && machine.path_open;
        if !closed {
            return;
        }
        machine.known_linked = false;
        let name = agent(&machine.name);
        if !self.succession.is_vacant() {
            self.world.coordinator.agent_disconnected(&name, self.world.now);
            self.world.settle();
        }
    }
}
