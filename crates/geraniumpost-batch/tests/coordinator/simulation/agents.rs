//! Links, heartbeats, leases and termination of agents.

use geraniumpost_batch::{Effect, FromAgent, ToAgent};
use geraniumpost_schema::Name;

use super::Simulation;
use crate::cluster::agent_name;

/// Interval between heartbeats of an agent, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Offset between the periodic work of two successive agents, in milliseconds, so that agents do
/// not act all at once.
const AGENT_OFFSET_MS: u64 = 100;

impl Simulation {
    /// Returns the index of the machine to which the incarnation `minion` belongs, also after its
    /// end.
    pub(super) fn machine_of(&self, minion: &Name) -> Option<usize> {
        self.machines.iter().position(|machine| agent_name(&machine.name) == agent_name(minion))
    }

    /// Returns whether work that an agent does every `every_ms` milliseconds is due in this step.
    pub(super) const fn is_due(&self, at: usize, every_ms: u64) -> bool {
        (self.cluster.now.steady_ms + AGENT_OFFSET_MS * at as u64).is_multiple_of(every_ms)
    }

    /// Returns whether an agent has a link over which messages reach the coordinator.
    pub(super) fn can_reach_coordinator(&self, at: usize) -> bool {
        let machine = &self.machines[at];
        machine.linked && machine.network_up && !self.succession.is_vacant()
    }

    /// Returns whether an agent could open a link to the current coordinator, if there is one.
    pub(super) fn can_link(&self, at: usize) -> bool {
        let machine = &self.machines[at];
        machine.agent_up
            && machine.network_up
            && !self.succession.agent_follows_isolated_coordinator(at)
    }

    /// Sends a message of an agent to the coordinator. The message is lost if there is no link.
    pub(super) fn send(&mut self, at: usize, message: FromAgent) {
        if self.can_reach_coordinator(at) {
            let name = self.machines[at].name.clone();
            self.cluster.send(&name, message);
        }
        self.settle_departures();
    }

    /// Opens a link if the agent has none and can open one. Over the new link the agent reports the
    /// present minion and unsettled departures.
    pub(super) fn link_agent(&mut self, at: usize) {
        let can_link = self.can_link(at) && !self.succession.is_vacant();
        let machine = &mut self.machines[at];
        if machine.linked || !can_link || self.cluster.now.steady_ms < machine.next_link_ms {
            return;
        }
        let name = agent_name(&machine.name);
        if std::mem::replace(&mut machine.coordinator_sees_link, true) {
            self.cluster.coordinator.handle_agent_disconnected(&name, self.cluster.now);
        }
        machine.linked = true;
        self.send(at, FromAgent::Hello { agent: name });
        for minion in
            self.machines[at].departures.unrecorded_terminations().cloned().collect::<Vec<_>>()
        {
            let crashed = self.machines[at].departures.has_crashed(&minion);
            self.send(at, FromAgent::MinionTerminated { minion, crashed, replaced_by: None });
        }
        self.report_minion(at);
        self.heartbeat(at);
    }

    pub(super) fn heartbeat_if_due(&mut self, at: usize) {
        if self.is_due(at, HEARTBEAT_INTERVAL_MS) {
            self.heartbeat(at);
        }
    }

    /// Sends the agent's heartbeat, and extends its lease if a coordinator responds with an
    /// extension.
    pub(super) fn heartbeat(&mut self, at: usize) {
        let machine = &self.machines[at];
        if !machine.agent_up {
            return;
        }
        let heartbeat = machine.heartbeat_message(self.cluster.now.steady_ms);
        if self.succession.agent_follows_isolated_coordinator(at) {
            self.heartbeat_to_isolated_coordinator(at, heartbeat);
        } else {
            self.send(at, heartbeat);
            self.apply_lease_extensions();
        }
    }

    /// Sends the agent's heartbeat to the isolated coordinator, which does not know of its
    /// successor and extends the agent's lease.
    fn heartbeat_to_isolated_coordinator(&mut self, at: usize, heartbeat: FromAgent) {
        let now = self.cluster.now;
        let Some((coordinator, _)) = &mut self.succession.isolated else { return };
        let machine = &mut self.machines[at];
        coordinator.handle_agent_message(&agent_name(&machine.name), heartbeat, now);
        for effect in coordinator.take_effects(now) {
            if let Effect::Send { message: ToAgent::Lease { lease_ms, .. }, .. } = effect
                && lease_ms > 0
            {
                machine.extend_lease(now.steady_ms + lease_ms);
            }
        }
    }

    /// Applies the lease extensions that the coordinator has sent to agents.
    fn apply_lease_extensions(&mut self) {
        for (name, sent_at_ms, lease_ms) in std::mem::take(&mut self.cluster.lease_extensions) {
            let machine =
                self.machines.iter_mut().find(|machine| agent_name(&machine.name) == name);
            if let Some(machine) = machine.filter(|_| lease_ms > 0) {
                machine.extend_lease(sent_at_ms + lease_ms);
            }
        }
    }

    /// Terminates an agent that was asked to stop, if its departures are settled or its deadline
    /// has passed.
    pub(super) fn finish_agent_stop(&mut self, at: usize) {
        let machine = &self.machines[at];
        let Some(deadline_ms) = machine.stop_deadline_ms else { return };
        if self.cluster.now.steady_ms >= deadline_ms || machine.departures.is_empty() {
            self.terminate_agent(at);
        }
    }

    /// Terminates an agent at once. If the network is up, its link is closed and the coordinator
    /// detects the termination.
    pub(super) fn terminate_agent(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        machine.reset_agent();
        let coordinator_notices = machine.coordinator_sees_link && machine.network_up;
        if !coordinator_notices {
            return;
        }
        machine.coordinator_sees_link = false;
        let name = agent_name(&machine.name);
        if !self.succession.is_vacant() {
            self.cluster.coordinator.handle_agent_disconnected(&name, self.cluster.now);
            self.cluster.process_effects();
        }
    }
}
