//! The agents' side.

use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{LedgerAction, LedgerEvent, PlannerEvent};
use rand::Rng;

use super::flight::Flight;
use super::{STEP_MS, World};

impl World {
    pub(super) fn run_agent(&mut self, at: usize) {
        let now = self.now;
        if !self.agents[at].is_up(now) {
            return;
        }
        for event in std::mem::take(&mut self.agents[at].inbox) {
            self.tell_agent(at, event);
        }
        if now % 200 < STEP_MS {
            let sequence = self.agents[at].sequence + 1;
            self.tell_agent(at, LedgerEvent::HeartbeatSent(sequence));
            let beat = self.agents[at].heartbeat();
            for entry in 0..self.entries.len() {
                if !self.is_lost() && !self.is_cut(entry, at) {
                    let (delay, beat) = (self.delay(), Box::new(beat.clone()));
                    self.fly(delay, Flight::Beat { entry, agent: at, beat });
                }
            }
        }
        self.tell_agent(at, LedgerEvent::Tick);
    }

    pub(super) fn tell_agent(&mut self, at: usize, event: LedgerEvent) {
        let now = self.now;
        if !self.agents[at].is_up(now) {
            self.agents[at].inbox.push(event);
            return;
        }
        let incarnation = self.agents[at].incarnation;
        for action in self.agents[at].handle(event, now) {
            let name = self.agents[at].name.clone();
            match action {
                LedgerAction::Report(report) => {
                    self.tell_entries(at, &PlannerEvent::Report { agent: name, report });
                }
                LedgerAction::Inventory(inventory) => {
                    self.tell_entries(at, &PlannerEvent::Inventory { agent: name, inventory });
                }
                call => {
                    let delay = self.delay().min(100);
                    let flight = Flight::WorkerCall { agent: at, incarnation, asked: now, call };
                    self.fly(delay, flight);
                }
            }
        }
    }

    pub(super) fn tell_entries(&mut self, agent: usize, event: &PlannerEvent) {
        for entry in 0..self.entries.len() {
            let linked = self.entries[entry].links[agent] == Some(self.agents[agent].incarnation);
            if linked && !self.is_lost() && !self.is_cut(entry, agent) {
                let incarnation = self.entries[entry].incarnation;
                let delay = self.delay();
                self.fly(delay, Flight::ToEntry { entry, incarnation, event: event.clone() });
            }
        }
    }

    pub(super) fn run_worker(
        &mut self,
        agent: usize,
        incarnation: u64,
        asked: u64,
        call: LedgerAction,
    ) {
        let now = self.now;
        if now < self.agents[agent].down_until {
            return;
        }
        let length = self.rng.random_range(500..6_000);
        let worker = &mut self.agents[agent].worker;
        let event = if call == LedgerAction::List {
            Some(LedgerEvent::Listed { asked: Millis(asked), tasks: worker.list(now) })
        } else {
            worker.run(call, now, length)
        };
        let Some(event) = event else { return };
        let event = match event {
            LedgerEvent::Started { job, epoch } if self.is_lost() => {
                LedgerEvent::StartUncertain { job, epoch }
            }
            event => event,
        };
        if matches!(event, LedgerEvent::StartUncertain { .. }) || !self.is_lost() {
            let delay = self.delay().min(100);
            self.fly(delay, Flight::ToAgent { agent, incarnation, event });
        }
    }
}
