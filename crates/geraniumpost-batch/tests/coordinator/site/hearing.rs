//! What agents learn of their minions, and how they tell of it.

use geraniumpost_batch::FromAgent;
use geraniumpost_schema::Name;

use super::Site;

/// Time between two looks of an agent at its minion, in milliseconds.
const LOOK_MS: u64 = 400;

impl Site {
    /// The agent hears its minion: heartbeats, looks and farewells.
    pub(super) fn hear(&mut self, at: usize) {
        if !self.machines[at].agent_up {
            return;
        }
        self.end_farewell(at);
        if self.is_due(at, LOOK_MS) {
            self.meet(at);
            self.look(at);
        }
        let machine = &mut self.machines[at];
        if machine.knows_minion() && machine.learn() {
            self.tell_minion(at);
        }
    }

    /// The agent takes a minion for gone that said its farewell a while ago.
    fn end_farewell(&mut self, at: usize) {
        let now_ms = self.world.now.steady_ms;
        let leaving = &mut self.machines[at].leaving;
        if let Some((_, id)) = leaving.take_if(|(at_ms, _)| *at_ms <= now_ms) {
            self.depart(at, &id);
        }
    }

    /// The agent finds an incarnation that it does not know, and tells of it at once.
    fn meet(&mut self, at: usize) {
        let now_ms = self.world.now.steady_ms;
        let machine = &mut self.machines[at];
        if machine.knows_minion() {
            return;
        }
        let Some(minion) = &machine.minion else { return };
        machine.present = Some(minion.id.clone());
        machine.learn();
        machine.answered_ms = now_ms;
        self.tell_minion(at);
        self.beat(at);
    }

    /// The agent reads its minion's lists, extends its hold, and passes the lists on.
    pub(super) fn look(&mut self, at: usize) {
        let now_ms = self.world.now.steady_ms;
        let machine = &mut self.machines[at];
        let Some(minion) = &mut machine.minion else { return };
        machine.answered_ms = now_ms;
        if machine.lease_ms > now_ms {
            minion.hold_ms = minion.hold_ms.max(machine.lease_ms);
        }
        let id = minion.id.clone();
        if self.reaches(at) {
            self.world.look(&id);
        }
    }

    /// The agent learns that an incarnation is gone, and says so if it knew it.
    pub(super) fn find_gone(&mut self, at: usize, id: &Name) {
        if self.machines[at].present.as_ref() == Some(id) {
            self.depart(at, id);
        }
    }

    /// The agent keeps a departure in mind, and says so if it can.
    fn depart(&mut self, at: usize, id: &Name) {
        let machine = &mut self.machines[at];
        machine.present.take_if(|present| present == id);
        machine.departures.record_terminated(id);
        let reaches = self.reaches(at);
        self.trace(&format!("agent finds {id} gone, heard by the coordinator: {reaches}"));
        self.say(at, FromAgent::MinionTerminated { minion: id.clone() });
    }

    /// Agents forget the departures that the records hold.
    pub(super) fn settle_departures(&mut self) {
        for minion in std::mem::take(&mut self.world.settled) {
            if let Some(at) = self.machine_of(&minion).filter(|at| self.reaches(*at)) {
                self.machines[at].departures.remove(&minion);
            }
        }
    }

    /// The agent says how its minion is, if it knows one and can.
    pub(super) fn tell_minion(&mut self, at: usize) {
        if self.reaches(at)
            && let Some(info) = self.machines[at].info()
        {
            self.say(at, FromAgent::Minion(info));
        }
    }
}
