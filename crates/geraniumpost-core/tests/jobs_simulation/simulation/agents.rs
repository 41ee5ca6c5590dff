//! The agents and their workers.

use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{LedgerAction, LedgerEvent, PlannerEvent};
use rand::Rng;

use super::message::Message;
use super::{STEP_MS, Simulation};

impl Simulation {
    pub(super) fn step_agent(&mut self, index: usize) {
        let now = self.now;
        if !self.agents[index].is_up(now) {
            return;
        }
        for event in std::mem::take(&mut self.agents[index].inbox) {
            self.handle_agent_event(index, event);
        }
        if now % 200 < STEP_MS {
            let sequence = self.agents[index].sequence + 1;
            self.handle_agent_event(index, LedgerEvent::HeartbeatSent(sequence));
            let heartbeat = self.agents[index].heartbeat();
            for entry in 0..self.entries.len() {
                if !self.is_message_lost() && !self.is_link_cut(entry, index) {
                    let (delay, heartbeat) = (self.random_delay_ms(), Box::new(heartbeat.clone()));
                    self.send(delay, Message::Heartbeat { entry, agent: index, heartbeat });
                }
            }
        }
        self.handle_agent_event(index, LedgerEvent::Tick);
    }

    pub(super) fn handle_agent_event(&mut self, index: usize, event: LedgerEvent) {
        let now = self.now;
        if !self.agents[index].is_up(now) {
            self.agents[index].inbox.push(event);
            return;
        }
        let incarnation = self.agents[index].incarnation;
        for action in self.agents[index].handle(event, now) {
            let name = self.agents[index].name.clone();
            match action {
                LedgerAction::Report(report) => {
                    self.send_to_entries(index, &PlannerEvent::Report { agent: name, report });
                }
                LedgerAction::Inventory(inventory) => {
                    self.send_to_entries(
                        index,
                        &PlannerEvent::Inventory { agent: name, inventory },
                    );
                }
                call => {
                    let delay = self.random_delay_ms().min(100);
                    let message =
                        Message::WorkerCall { agent: index, incarnation, sent_at: now, call };
                    self.send(delay, message);
                }
            }
        }
    }

    pub(super) fn send_to_entries(&mut self, agent: usize, event: &PlannerEvent) {
        for entry in 0..self.entries.len() {
            let linked = self.entries[entry].links[agent] == Some(self.agents[agent].incarnation);
            if linked && !self.is_message_lost() && !self.is_link_cut(entry, agent) {
                let incarnation = self.entries[entry].incarnation;
                let delay = self.random_delay_ms();
                self.send(delay, Message::ToEntry { entry, incarnation, event: event.clone() });
            }
        }
    }

    pub(super) fn handle_worker_call(
        &mut self,
        agent: usize,
        incarnation: u64,
        sent_at: u64,
        call: LedgerAction,
    ) {
        let now = self.now;
        if now < self.agents[agent].down_until {
            return;
        }
        let duration_ms = self.rng.random_range(500..6_000);
        let worker = &mut self.agents[agent].worker;
        let event = if call == LedgerAction::List {
            Some(LedgerEvent::Listed { requested_at: Millis(sent_at), tasks: worker.list(now) })
        } else {
            worker.handle(call, now, duration_ms)
        };
        let Some(event) = event else { return };
        let event = match event {
            LedgerEvent::Started { job, epoch } if self.is_message_lost() => {
                LedgerEvent::StartUncertain { job, epoch }
            }
            event => event,
        };
        if matches!(event, LedgerEvent::StartUncertain { .. }) || !self.is_message_lost() {
            let delay = self.random_delay_ms().min(100);
            self.send(delay, Message::ToAgent { agent, incarnation, event });
        }
    }
}
