//! What agents learn of their minions, and how they tell of it.

use geraniumpost_batch::FromAgent;
use geraniumpost_schema::Name;

use super::Simulation;

/// Time between two looks of an agent at its minion, in milliseconds.
const POLL_INTERVAL_MS: u64 = 400;

impl Simulation {
    /// The agent hears its minion: heartbeats, looks and farewells.
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
        if machine.knows_minion() && machine.refresh_reported() {
            self.report_minion(at);
        }
    }

    /// The agent takes a minion for gone that said its farewell a while ago.
    fn complete_deregistration(&mut self, at: usize) {
        let now_ms = self.cluster.now.steady_ms;
        let deregistered = &mut self.machines[at].deregistered;
        if let Some((_, id)) = deregistered.take_if(|(at_ms, _)| *at_ms <= now_ms) {
            self.record_departure(at, &id);
        }
    }

    /// The agent finds an incarnation that it does not know, and tells of it at once.
    fn discover_minion(&mut self, at: usize) {
        let now_ms = self.cluster.now.steady_ms;
        let machine = &mut self.machines[at];
        if machine.knows_minion() {
            return;
        }
        let Some(minion) = &machine.minion else { return };
        machine.known_minion = Some(minion.id.clone());
        machine.refresh_reported();
        machine.last_answer_ms = now_ms;
        self.report_minion(at);
        self.heartbeat(at);
    }

    /// The agent reads its minion's lists, extends its hold, and passes the lists on.
    pub(super) fn poll_minion(&mut self, at: usize) {
        let now_ms = self.cluster.now.steady_ms;
        let machine = &mut self.machines[at];
        let Some(minion) = &mut machine.minion else { return };
        machine.last_answer_ms = now_ms;
        if machine.lease_until_ms > now_ms {
            minion.lease_until_ms = minion.lease_until_ms.max(machine.lease_until_ms);
        }
        let id = minion.id.clone();
        if self.can_reach_coordinator(at) {
            self.cluster.poll(&id);
        }
    }

    /// The agent learns that an incarnation is gone, and says so if it knew it.
    pub(super) fn detect_departure(&mut self, at: usize, id: &Name) {
        if self.machines[at].known_minion.as_ref() == Some(id) {
            self.record_departure(at, id);
        }
    }

    /// The agent keeps a departure in mind, and says so if it can.
    fn record_departure(&mut self, at: usize, id: &Name) {
        let machine = &mut self.machines[at];
        machine.known_minion.take_if(|known_minion| known_minion == id);
        machine.departures.gone(id);
        let reaches = self.can_reach_coordinator(at);
        self.trace(&format!("agent finds {id} gone, heard by the coordinator: {reaches}"));
        self.send(at, FromAgent::MinionGone { minion: id.clone() });
    }

    /// Agents forget the departures that the records hold.
    pub(super) fn settle_departures(&mut self) {
        for minion in std::mem::take(&mut self.cluster.settled_departures) {
            if let Some(at) = self.machine_of(&minion).filter(|at| self.can_reach_coordinator(*at))
            {
                self.machines[at].departures.forget(&minion);
            }
        }
    }

    /// The agent says how its minion is, if it knows one and can.
    pub(super) fn report_minion(&mut self, at: usize) {
        if self.can_reach_coordinator(at)
            && let Some(info) = self.machines[at].reported_info()
        {
            self.send(at, FromAgent::Minion(info));
        }
    }
}
