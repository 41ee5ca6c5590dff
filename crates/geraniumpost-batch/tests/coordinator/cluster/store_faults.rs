//! Faults of the store: writes that it refuses, and writes without a result.

use geraniumpost_batch::{Coordinator, Feature, Features, JobId};

use super::{Cluster, LEASE_MS};

/// Pause of the driver after a refused write, in milliseconds.
const RETRY_PAUSE_MS: u64 = 60;

impl Cluster {
    /// Switches the refusal of jobs on. Must be called before minions join.
    pub fn with_admission(mut self) -> Self {
        self.features = Features::default().with(Feature::Admission);
        self.coordinator =
            Coordinator::new(1, self.now).with_lease_ms(LEASE_MS).with_features(self.features);
        self
    }

    /// Lets the store refuse all writes for `ms` milliseconds.
    pub fn refuse_writes_for(&mut self, ms: u64) {
        self.confirm_writes = false;
        for _ in 0..ms.div_ceil(RETRY_PAUSE_MS) {
            self.refuse_pending_writes();
            self.advance(RETRY_PAUSE_MS);
        }
    }

    /// Lets the store refuse the writes that are held back.
    pub fn refuse_pending_writes(&mut self) {
        for batch in std::mem::take(&mut self.pending_writes) {
            self.coordinator.handle_batch_refused(batch.number, self.now);
        }
        self.process_effects();
    }

    /// Lets the store refuse the oldest write that is held back, if any.
    pub fn refuse_first_write(&mut self) {
        if !self.pending_writes.is_empty() {
            let batch = self.pending_writes.remove(0);
            self.coordinator.handle_batch_refused(batch.number, self.now);
            self.process_effects();
        }
    }

    /// Lets the store commit the oldest write that is held back, if any.
    pub fn commit_first_write(&mut self) {
        if !self.pending_writes.is_empty() {
            let batch = self.pending_writes.remove(0);
            self.apply_write(batch);
            self.process_effects();
        }
    }

    /// Lets an attempt to write the oldest batch that is held back have no result. The driver
    /// returns the other batches.
    pub fn lose_result_of_first_write(&mut self) {
        let unsent = self.pending_writes.split_off(1);
        self.coordinator.handle_batch_indeterminate(self.pending_writes[0].number);
        for batch in unsent {
            self.coordinator.handle_batch_unsent(batch.number);
        }
        self.process_effects();
    }

    /// Returns whether a job's record is in the store or in a write that is held back.
    pub fn is_written(&self, job: u64) -> bool {
        let held_back = self.pending_writes.iter().flat_map(|batch| &batch.put);
        self.store.contains_key(&JobId(job))
            || held_back.into_iter().any(|(id, _)| *id == JobId(job))
    }
}
