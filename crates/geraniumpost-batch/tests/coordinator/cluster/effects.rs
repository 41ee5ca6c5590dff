//! Effects of the coordinator: messages, log lines, and writes to the store.

use geraniumpost_batch::{Effect, ToAgent, WriteBatch};

use super::Cluster;

impl Cluster {
    /// Performs all pending effects of the coordinator, and those that follow from them. Writes are
    /// held back unless `confirm_writes` is set.
    pub fn process_effects(&mut self) {
        loop {
            let effects = self.coordinator.take_effects(self.now);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.perform_effect(effect);
            }
        }
    }

    fn perform_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Write(batch) if self.confirm_writes => self.apply_write(batch),
            Effect::Write(batch) => self.pending_writes.push(batch),
            Effect::Respond { request_id, response } => {
                self.responses.insert(request_id, response);
            }
            Effect::Send { message: ToAgent::Order(order), .. } => self.orders.push(order),
            Effect::Send { message: ToAgent::Acknowledge { minion, up_to }, .. } => {
                self.acknowledged.insert(minion, up_to);
            }
            Effect::Send { message: ToAgent::DepartureRecorded { minion }, .. } => {
                self.settled_departures.push(minion);
            }
            Effect::Send { agent, message: ToAgent::Lease { sent_at_ms, lease_ms, .. } } => {
                self.lease_extensions.push((agent, sent_at_ms, lease_ms));
            }
            Effect::Log(line) => self.log_lines.push(line),
            Effect::RequestApproval { step, minions } => {
                self.approval_requests.push((step, minions));
            }
            Effect::Superseded => {}
        }
    }

    pub(super) fn apply_write(&mut self, batch: WriteBatch) {
        for (job, record) in batch.put {
            self.store.insert(job, record);
        }
        self.stored_interference = batch.interference.or_else(|| self.stored_interference.take());
        for job in batch.remove {
            self.store.remove(&job);
        }
        self.coordinator.handle_batch_written(batch.number, self.now);
    }

    /// Applies and confirms the writes that were held back, and from now on all writes at once.
    pub fn confirm_pending_writes(&mut self) {
        self.confirm_writes = true;
        for batch in std::mem::take(&mut self.pending_writes) {
            self.apply_write(batch);
        }
        self.process_effects();
    }
}
