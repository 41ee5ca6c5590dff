//! What is written, and what waits for it.

use super::{Coordinator, Effect, WriteBatch};
use crate::tuning::{MAX_BYTES_PER_WRITE, MAX_CONCURRENT_WRITES, MAX_RECORDS_PER_WRITE};
use crate::{CallerResponse, JobId, JobState, Now, TaskId, ToAgent};

/// A write under way.
#[derive(Debug)]
pub(super) struct Batch {
    jobs: Vec<Written>,
    removed: Vec<JobId>,
}

/// One record of a write under way.
#[derive(Debug)]
struct Written {
    job: JobId,
    version: u64,
    state: JobState,
    then: Vec<Deferred>,
}

/// What is done once a version of a record is committed.
#[derive(Debug, Clone)]
pub(super) enum Deferred {
    /// Answer a request.
    Reply(u64, CallerResponse),
    /// Give the start order of a placement.
    Start(TaskId, u32),
}

impl Coordinator {
    /// Marks a record as changed, and returns its version.
    pub(super) fn touch(&mut self, id: JobId) -> u64 {
        let Some(job) = self.jobs.get_mut(&id) else { return 0 };
        job.version += 1;
        self.dirty.insert(id);
        job.version
    }

    /// Takes note that a batch is written.
    ///
    /// The shell reports a batch only once no earlier attempt at it, or at an earlier batch, can
    /// still change the store; an older record could otherwise replace a newer one.
    pub fn batch_written(&mut self, number: u64, now: Now) {
        let Some(batch) = self.batches.remove(&number) else { return };
        for written in batch.jobs {
            if let Some(job) = self.jobs.get_mut(&written.job) {
                job.durable = job.durable.max(written.version);
                job.writing = false;
                job.shown = written.state;
            }
            for deferred in written.then {
                self.release(deferred, now);
            }
        }
        for id in batch.removed {
            self.jobs.remove(&id);
        }
        self.acknowledge();
        self.settle_departures();
    }

    fn release(&mut self, deferred: Deferred, now: Now) {
        match deferred {
            Deferred::Reply(ticket, answer) => {
                self.effects.push(Effect::Reply { ticket, response: answer });
            }
            Deferred::Start(task, run) => self.start_committed(task, run, now),
        }
    }

    /// Lets minions forget the ends that the store holds.
    pub(super) fn acknowledge(&mut self) {
        let jobs = &self.jobs;
        let durable =
            |id: &JobId, version: u64| jobs.get(id).is_none_or(|job| job.durable >= version);
        for (id, minion) in &mut self.minions {
            // An end that is listed after its acknowledgement left shows that this was lost with a link.
            let again = std::mem::replace(&mut minion.acknowledge_again, false);
            let mut up_to = again.then_some(minion.acknowledged);
            while let Some((number, change)) = minion.unacknowledged.front() {
                if change.as_ref().is_some_and(|(job, version)| !durable(job, *version)) {
                    break;
                }
                up_to = Some(*number);
                minion.unacknowledged.pop_front();
            }
            if let Some(up_to) = up_to {
                minion.acknowledged = up_to;
                let message = ToAgent::Acknowledge { minion: id.clone(), up_to };
                self.effects.push(Effect::Send { agent: minion.agent.clone(), message });
            }
        }
    }

    /// Gathers changed records into writes, as far as writes may begin.
    pub(super) fn gather_writes(&mut self, now: Now) {
        while self.batches.len() < MAX_CONCURRENT_WRITES {
            let Some(mut write) = self.gather_write() else { return };
            write.interference = self.knowledge_due(now);
            self.effects.push(Effect::Write(write));
        }
    }

    fn gather_write(&mut self) -> Option<WriteBatch> {
        let number = self.next_batch;
        let mut write =
            WriteBatch { number, put: Vec::new(), remove: Vec::new(), interference: None };
        let mut written = Vec::new();
        let mut bytes = 0;
        for id in self.dirty.iter().copied().collect::<Vec<_>>() {
            let Some(job) = self.jobs.get_mut(&id) else {
                self.dirty.remove(&id);
                continue;
            };
            if job.writing {
                continue;
            }
            if written.len() >= MAX_RECORDS_PER_WRITE || bytes >= MAX_BYTES_PER_WRITE {
                break;
            }
            self.dirty.remove(&id);
            job.writing = true;
            let record = job.record.encode();
            bytes += record.len();
            write.put.push((id, record));
            let then = std::mem::take(&mut job.after_commit);
            let (version, state) = (job.version, job.record.state);
            written.push(Written { job: id, version, state, then });
        }
        let room = MAX_RECORDS_PER_WRITE - written.len();
        let removed: Vec<_> = self.expired.drain(..room.min(self.expired.len())).collect();
        write.remove.clone_from(&removed);
        if written.is_empty() && removed.is_empty() {
            return None;
        }
        self.next_batch += 1;
        self.batches.insert(number, Batch { jobs: written, removed });
        Some(write)
    }
}
