//! Writes of records, and actions that wait for these writes.

use super::{Coordinator, Effect, WriteBatch};
use crate::tuning::{
    INTERFERENCE_WRITE_INTERVAL_MS, MAX_BYTES_PER_WRITE, MAX_CONCURRENT_WRITES,
    MAX_RECORDS_PER_WRITE,
};
use crate::{CallerResponse, JobId, JobState, Now, TaskId, ToAgent};

/// A batch whose write is not complete: the records to write, and the jobs whose records are
/// removed.
#[derive(Debug)]
pub(super) struct PendingBatch {
    jobs: Vec<PendingRecord>,
    removed: Vec<JobId>,
    /// Time at which the batch was gathered, on the monotonic clock.
    pub(super) gathered_ms: u64,
    /// Whether an attempt to write the batch had no result, so that it may have reached the store.
    indeterminate: bool,
    /// Whether the batch contains the interference snapshot.
    has_interference: bool,
}

impl PendingBatch {
    const fn new(now: Now) -> Self {
        Self {
            jobs: Vec::new(),
            removed: Vec::new(),
            gathered_ms: now.steady_ms,
            indeterminate: false,
            has_interference: false,
        }
    }
}

/// A record that is being written, and the actions that wait for it.
#[derive(Debug)]
struct PendingRecord {
    job: JobId,
    version: u64,
    state: JobState,
    actions: Vec<DeferredAction>,
}

/// An action that waits until a version of a record is committed.
#[derive(Debug, Clone)]
pub(super) enum DeferredAction {
    /// Respond to a caller's request: request id and response.
    Respond(u64, CallerResponse),
    /// Send the start order of a run, given by its task and number.
    Start(TaskId, u32),
}

impl Coordinator {
    /// Marks a record as changed and returns its new version.
    pub(super) fn mark_dirty(&mut self, id: JobId) -> u64 {
        let Some(job) = self.jobs.get_mut(&id) else { return 0 };
        job.version += 1;
        self.dirty.insert(id);
        job.version
    }

    /// Handles the completion of a batch.
    ///
    /// The driver must report a batch only once no earlier attempt at this batch or at an earlier
    /// batch can still change the store; otherwise an older record could replace a newer one.
    pub fn handle_batch_written(&mut self, number: u64, now: Now) {
        let Some(batch) = self.batches.remove(&number) else { return };
        self.record_commit(now);
        for mut written in batch.jobs {
            if let Some(job) = self.jobs.get_mut(&written.job) {
                job.durable_version = job.durable_version.max(written.version);
                job.write_in_flight = false;
                job.committed_state = written.state;
                // Copies of a request that arrived during the write wait for the same version, and
                // there may be no further write for long.
                if job.durable_version == job.version {
                    written.actions.append(&mut job.after_commit);
                }
            }
            for deferred in written.actions {
                self.run_deferred_action(deferred, now);
            }
        }
        for id in batch.removed {
            self.jobs.remove(&id);
            self.forget_crashes_of_job(id);
        }
        self.acknowledge_ends();
        self.report_recorded_departures();
    }

    /// Takes back a batch that the store refused, and did not and will not apply. Its records are
    /// gathered anew, and jobs that were never stored may be withdrawn first.
    pub fn handle_batch_refused(&mut self, number: u64, now: Now) {
        self.commit_health.record_refusal(now.steady_ms);
        self.take_back_batch(number);
    }

    /// Takes back a batch that the driver has not begun to write, because an earlier write had no
    /// result.
    pub fn handle_batch_unsent(&mut self, number: u64) {
        self.take_back_batch(number);
    }

    /// Records that an attempt to write a batch had no result. The driver must attempt the same
    /// batch again, once the first attempt can no longer change the store, and before any other.
    ///
    /// Until then no further batch is gathered, so that the jobs in it are known not to have reached
    /// the store. The jobs in this batch are not withdrawn, even if a later attempt is refused.
    pub fn handle_batch_indeterminate(&mut self, number: u64) {
        let Some(batch) = self.batches.get_mut(&number) else { return };
        batch.indeterminate = true;
        for written in &batch.jobs {
            if let Some(job) = self.jobs.get_mut(&written.job) {
                job.may_be_stored = true;
            }
        }
    }

    fn take_back_batch(&mut self, number: u64) {
        let Some(batch) = self.batches.remove(&number) else { return };
        for unwritten in batch.jobs {
            let Some(job) = self.jobs.get_mut(&unwritten.job) else { continue };
            job.write_in_flight = false;
            let later = std::mem::replace(&mut job.after_commit, unwritten.actions);
            job.after_commit.extend(later);
            self.dirty.insert(unwritten.job);
        }
        for id in batch.removed {
            if !self.expired_jobs.contains(&id) {
                self.expired_jobs.push(id);
            }
        }
        if batch.has_interference {
            self.interference_written_ms =
                self.interference_written_ms.saturating_sub(INTERFERENCE_WRITE_INTERVAL_MS);
        }
    }

    /// Removes what is known about crashes under a job that is no longer known.
    pub(super) fn forget_crashes_of_job(&mut self, id: JobId) {
        self.tasks_given_up.retain(|task| task.job != id);
        self.explained_crashes.remove_job(id);
    }

    fn run_deferred_action(&mut self, deferred: DeferredAction, now: Now) {
        match deferred {
            DeferredAction::Respond(request_id, response) => {
                self.effects.push(Effect::Respond { request_id, response });
            }
            DeferredAction::Start(task, run) => self.send_committed_start(task, run, now),
        }
    }

    /// Acknowledges the ends of runs that the stored records contain, so that minions may discard
    /// them.
    pub(super) fn acknowledge_ends(&mut self) {
        let jobs = &self.jobs;
        let is_durable = |id: &JobId, version: u64| {
            jobs.get(id).is_none_or(|job| job.durable_version >= version)
        };
        for (id, minion) in &mut self.minions {
            // The last acknowledgement was lost with a link if the minion lists acknowledged ends
            // again.
            let resend = std::mem::replace(&mut minion.resend_acknowledgement, false);
            let mut up_to = resend.then_some(minion.acknowledged_up_to);
            while let Some((number, change)) = minion.unacknowledged.front() {
                if change.as_ref().is_some_and(|(job, version)| !is_durable(job, *version)) {
                    break;
                }
                up_to = Some(*number);
                minion.unacknowledged.pop_front();
            }
            if let Some(up_to) = up_to {
                minion.acknowledged_up_to = up_to;
                let message = ToAgent::Acknowledge { minion: id.clone(), up_to };
                self.effects.push(Effect::Send { agent: minion.agent.clone(), message });
            }
        }
    }

    /// Gathers changed records into writes, up to the limit of concurrent writes.
    pub(super) fn gather_writes(&mut self, now: Now) {
        while self.batches.len() < MAX_CONCURRENT_WRITES {
            if self.batches.values().any(|batch| batch.indeterminate) {
                return;
            }
            let Some(mut write) = self.gather_batch(now) else { break };
            write.interference = self.interference_to_write(now);
            if let Some(batch) = self.batches.get_mut(&write.number) {
                batch.has_interference = write.interference.is_some();
            }
            self.effects.push(Effect::Write(write));
        }
        if self.is_store_not_committing() && self.batches.is_empty() {
            self.write_probe(now);
        }
    }

    /// Writes the learned interference, although nothing else is to be written: once all unstored
    /// jobs are withdrawn, there might be no write that shows that the store commits again.
    fn write_probe(&mut self, now: Now) {
        let number = self.next_batch_number;
        self.next_batch_number += 1;
        self.batches.insert(number, PendingBatch::new(now));
        let interference = Some(self.interference.snapshot().encode());
        self.effects.push(Effect::Write(WriteBatch {
            number,
            put: Vec::new(),
            remove: Vec::new(),
            interference,
        }));
    }

    fn gather_batch(&mut self, now: Now) -> Option<WriteBatch> {
        let number = self.next_batch_number;
        let mut write =
            WriteBatch { number, put: Vec::new(), remove: Vec::new(), interference: None };
        let mut written = Vec::new();
        let mut bytes = 0;
        for id in self.dirty.iter().copied().collect::<Vec<_>>() {
            let Some(job) = self.jobs.get_mut(&id) else {
                self.dirty.remove(&id);
                continue;
            };
            if job.write_in_flight {
                continue;
            }
            if written.len() >= MAX_RECORDS_PER_WRITE || bytes >= MAX_BYTES_PER_WRITE {
                break;
            }
            self.dirty.remove(&id);
            job.write_in_flight = true;
            let record = job.record.encode();
            bytes += record.len();
            write.put.push((id, record));
            let actions = std::mem::take(&mut job.after_commit);
            let (version, state) = (job.version, job.record.state);
            written.push(PendingRecord { job: id, version, state, actions });
        }
        let remaining = MAX_RECORDS_PER_WRITE - written.len();
        let removed: Vec<_> =
            self.expired_jobs.drain(..remaining.min(self.expired_jobs.len())).collect();
        write.remove.clone_from(&removed);
        if written.is_empty() && removed.is_empty() {
            return None;
        }
        self.next_batch_number += 1;
        self.batches
            .insert(number, PendingBatch { jobs: written, removed, ..PendingBatch::new(now) });
        Some(write)
    }
}
