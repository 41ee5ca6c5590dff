//! Polls of minions by their agents, and the reports of agents to the coordinator.

use geraniumpost_batch::FromAgent;
use geraniumpost_schema::Name;

use super::Simulation;

/// Interval between polls of a minion, in milliseconds.
const POLL_INTERVAL_MS: u64 = 400;

impl Simulation {
    /// Lets the agent handle a deregistration of its minion, poll the minion if a poll is due, and
    /// report a change of the minion's state.
    pub(super) fn observe_minion(&mut self, at: usize) {
        if !self.machines[at].agent_up {
            return;
        }
        self.complete_deregistration(at);
        if self.is_due(at, POLL_INTERVAL_MS) {
            self.discover_minion(at);
            self.poll_minion(at);
        }
        let machine = &mut self.machines[at];
        if machine.knows_minion() && machine.refresh_known_state() {
            self.report_minion(at);
        }
    }

    /// Records the departure of a deregistered minion, if it is due.
    fn complete_deregistration(&mut self, at: usize) {
        let now_ms = self.cluster.now.steady_ms;
        let deregistered = &mut self.machines[at].deregistered;
        if let Some((_, id)) = deregistered.take_if(|(at_ms, _)| *at_ms <= now_ms) {
            self.record_departure(at, &id);
        }
    }

    /// Lets the agent discover a new incarnation of its minion, and report it at once.
    fn discover_minion(&mut self, at: usize) {
        let now_ms = self.cluster.now.steady_ms;
        let machine = &mut self.machines[at];
        if machine.knows_minion() {
            return;
        }
        let Some(minion) = &machine.minion else { return };
        let id = minion.id.clone();
        let previous = machine.known_minion.replace(id);
        if let Some(previous) = previous {
            self.record_replacement(at, &previous);
        }
        let machine = &mut self.machines[at];
        machine.refresh_known_state();
        machine.last_response_ms = now_ms;
        self.report_minion(at);
        self.heartbeat(at);
    }

    /// Polls the minion, extends its lease up to that of the agent, and reports its lists of
    /// running and ended tasks to the coordinator.
    pub(super) fn poll_minion(&mut self, at: usize) {
        let now_ms = self.cluster.now.steady_ms;
        let machine = &mut self.machines[at];
        let Some(minion) = &mut machine.minion else { return };
        machine.last_response_ms = now_ms;
        if machine.lease_until_ms > now_ms {
            minion.lease_until_ms = minion.lease_until_ms.max(machine.lease_until_ms);
        }
        let id = minion.id.clone();
        if self.can_reach_coordinator(at) {
            self.cluster.poll(&id);
        }
    }

    /// Records the departure of the incarnation `id`, if the agent knows this incarnation.
    pub(super) fn detect_departure(&mut self, at: usize, id: &Name) {
        if self.machines[at].known_minion.as_ref() == Some(id) {
            self.record_replacement(at, id);
        }
    }

    /// Records that another incarnation has replaced the incarnation `id`, which the agent knew.
    fn record_replacement(&mut self, at: usize, id: &Name) {
        let machine = &mut self.machines[at];
        machine.departures.record_replaced(id, machine.known_draining);
        self.record_departure(at, id);
    }

    /// Records a departure, which the agent holds until the coordinator has recorded it, and
    /// reports it to the coordinator.
    fn record_departure(&mut self, at: usize, id: &Name) {
        let machine = &mut self.machines[at];
        machine.known_minion.take_if(|known_minion| known_minion == id);
        machine.departures.record_terminated(id);
        let reported = self.can_reach_coordinator(at);
        self.trace(&format!(
            "agent records the departure of {id}, reported to the coordinator: {reported}"
        ));
        let crashed = self.machines[at].departures.has_crashed(id);
        self.send(
            at,
            FromAgent::MinionTerminated { minion: id.clone(), crashed, replaced_by: None },
        );
    }

    /// Lets agents drop departures that the coordinator has recorded.
    pub(super) fn settle_departures(&mut self) {
        for minion in std::mem::take(&mut self.cluster.settled_departures) {
            if let Some(at) = self.machine_of(&minion).filter(|at| self.can_reach_coordinator(*at))
            {
                self.machines[at].departures.remove(&minion);
            }
        }
    }

    /// Reports the minion's state to the coordinator, if the agent has discovered a minion.
    pub(super) fn report_minion(&mut self, at: usize) {
        if self.can_reach_coordinator(at)
            && let Some(info) = self.machines[at].next_minion_info()
        {
            self.send(at, FromAgent::Minion(info));
        }
    }
}
