//! What the coordinator asks for, and the store that keeps what it is told.

use geraniumpost_batch::{Effect, ToAgent, WriteBatch};

use super::World;

impl World {
    /// Does what the coordinator asks for; writes pass if they may.
    pub fn settle(&mut self) {
        loop {
            let effects = self.coordinator.take_effects(self.now);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.perform(effect);
            }
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Write(batch) if self.writes_pass => self.write(batch),
            Effect::Write(batch) => self.writes.push(batch),
            Effect::Reply { ticket, response } => {
                self.answers.insert(ticket, response);
            }
            Effect::Send { message: ToAgent::Order(order), .. } => self.orders.push(order),
            Effect::Send { message: ToAgent::Acknowledge { minion, up_to }, .. } => {
                self.acknowledged.insert(minion, up_to);
            }
            Effect::Send { message: ToAgent::DepartureRecorded { minion }, .. } => {
                self.settled.push(minion);
            }
            Effect::Send { agent, message: ToAgent::Lease { sent_at_ms, lease_ms, .. } } => {
                self.leases.push((agent, sent_at_ms, lease_ms));
            }
            Effect::Log(line) => self.notes.push(line),
            Effect::RequestApproval { step, minions } => self.questions.push((step, minions)),
            Effect::Superseded => {}
        }
    }

    fn write(&mut self, batch: WriteBatch) {
        for (job, record) in batch.put {
            self.store.insert(job, record);
        }
        self.knowledge = batch.interference.or_else(|| self.knowledge.take());
        for job in batch.remove {
            self.store.remove(&job);
        }
        self.coordinator.batch_written(batch.number, self.now);
    }

    /// Confirms the writes that were held back.
    pub fn pass_writes(&mut self) {
        self.writes_pass = true;
        for batch in std::mem::take(&mut self.writes) {
            self.write(batch);
        }
        self.settle();
    }
}
