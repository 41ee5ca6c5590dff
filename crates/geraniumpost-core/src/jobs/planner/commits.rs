//! Reading and writing buckets.

use geraniumpost_schema::{Name, TaskRef, ToAgent};

use super::{BucketStage, Effect, Planner, PlannerAction, RunGoal};
use crate::{
    Millis,
    jobs::{Bucket, JobRecord, Now},
};

impl Planner {
    pub(super) fn read_unknown_buckets(&mut self, now: Now, actions: &mut Vec<PlannerAction>) {
        let retry_ms = self.config.store_retry_interval_ms;
        for (bucket, slot) in self.slots.iter_mut().enumerate() {
            let paced = slot.last_call.0 == 0 || now.clock.since(slot.last_call) >= retry_ms;
            if slot.stage == BucketStage::Unknown && paced {
                slot.stage = BucketStage::Reading;
                slot.last_call = now.clock;
                self.counters.reads += 1;
                actions.push(PlannerAction::Read { bucket });
            }
        }
    }

    /// Sends the commits of all buckets that are due, if the lease permits writes.
    pub(super) fn send_commits(&mut self, now: Now, actions: &mut Vec<PlannerAction>) {
        if !self.role.may_assign() || self.stepped_down {
            return;
        }
        let (commit_interval_ms, max_checkpoint_delay_ms) =
            (self.config.commit_interval_ms, self.config.max_checkpoint_delay_ms);
        for (bucket, slot) in self.slots.iter_mut().enumerate() {
            if !slot.is_due(now.clock, commit_interval_ms, max_checkpoint_delay_ms) {
                continue;
            }
            slot.stage = BucketStage::Writing;
            slot.sequence += 1;
            slot.dirty = false;
            slot.checkpoint_since = None;
            slot.last_call = now.clock;
            slot.committing.append(&mut slot.queued);
            let value = slot.bucket.encode(self.term, slot.sequence);
            self.counters.commits += 1;
            actions.push(PlannerAction::Commit { bucket, expected: slot.revision, value });
        }
    }

    pub(super) fn on_commit_done(
        &mut self,
        bucket: usize,
        revision: u64,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(slot) = self.slots.get_mut(bucket) else { return };
        if !matches!(slot.stage, BucketStage::Writing | BucketStage::Reading) {
            return;
        }
        slot.stage = BucketStage::Ready;
        slot.revision = Some(revision);
        slot.fenced = true;
        for effect in std::mem::take(&mut slot.committing) {
            self.apply_effect(effect, now.clock, actions);
        }
    }

    /// Reads a bucket back after a commit whose outcome is unknown.
    ///
    /// A conflict is as inconclusive as a lost response: an earlier commit of this planner that was
    /// considered lost may have taken effect in between.
    pub(super) fn on_commit_uncertain(
        &mut self,
        bucket: usize,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(slot) = self.slots.get_mut(bucket) else { return };
        if slot.stage != BucketStage::Writing {
            return;
        }
        slot.stage = BucketStage::Reading;
        slot.last_call = now.clock;
        self.counters.uncertain_commits += 1;
        self.counters.reads += 1;
        actions.push(PlannerAction::Read { bucket });
    }

    pub(super) fn on_read_failed(&mut self, bucket: usize, now: Now) {
        let Some(slot) = self.slots.get_mut(bucket) else { return };
        if slot.stage == BucketStage::Reading {
            slot.stage = BucketStage::Unknown;
            slot.last_call = now.clock;
        }
    }

    pub(super) fn on_read(
        &mut self,
        bucket: usize,
        found: Option<(u64, Vec<u8>)>,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        if self.slots.get(bucket).is_none_or(|slot| slot.stage != BucketStage::Reading) {
            return;
        }
        let (revision, read) = match found.map(|(at, value)| (at, Bucket::decode(&value))) {
            Some((_, Err(_))) => return self.step_down("a job bucket cannot be decoded", actions),
            Some((revision, Ok(read))) => (Some(revision), read),
            None => (None, Bucket::default()),
        };
        let slot = &self.slots[bucket];
        if read.term() > self.term {
            self.step_down("a planner with a later term wrote a bucket", actions);
        } else if read.term() == self.term && read.sequence() == slot.sequence {
            let revision = revision.unwrap_or_default();
            self.on_commit_done(bucket, revision, now, actions);
        } else if read.term() == self.term && read.sequence() > slot.sequence {
            self.step_down("another planner wrote under the same term", actions);
        } else if slot.fenced && read.term() < self.term {
            self.step_down("a bucket was rolled back", actions);
        } else {
            self.load_bucket(bucket, revision, read, now);
        }
    }

    /// Handles a value read from the store that is not the last commit of this planner.
    ///
    /// Requeues the effects of that commit, if any, and marks the bucket for a new commit. Loads
    /// the records unless this planner has already written the bucket in this term.
    fn load_bucket(&mut self, bucket: usize, revision: Option<u64>, read: Bucket, now: Now) {
        let own = read.term() == self.term;
        let slot = &mut self.slots[bucket];
        slot.stage = BucketStage::Ready;
        slot.revision = revision;
        slot.requeue_effects();
        if own || slot.fenced {
            return;
        }
        let old: Vec<JobRecord> = slot.bucket.records().cloned().collect();
        slot.bucket = read;
        let new: Vec<JobRecord> = slot.bucket.records().cloned().collect();
        for record in &old {
            self.forget_record(record);
        }
        for record in &new {
            self.add_to_index(record);
            if record.state().is_placed() {
                self.add_predecessor_run(record, now.clock);
            }
        }
    }

    fn forget_record(&mut self, record: &JobRecord) {
        self.pending.remove(record.id());
        if self.runs.remove(record.id()).is_some() {
            self.unsettled_runs.remove(record.id());
            self.fleet.remove_task(record.id());
        }
        if !record.state().is_final()
            && let Some(count) = self.unfinished.get_mut(&record.spec().customer)
        {
            *count = count.saturating_sub(1);
        }
    }

    pub(super) fn step_down(&mut self, reason: &'static str, actions: &mut Vec<PlannerAction>) {
        self.stepped_down = true;
        actions.push(PlannerAction::StepDown(reason));
    }

    /// Performs an effect whose commit is known to be in the store.
    pub(super) fn apply_effect(
        &mut self,
        effect: Effect,
        now: Millis,
        actions: &mut Vec<PlannerAction>,
    ) {
        match effect {
            Effect::Reply { request_id, response } => {
                actions.push(PlannerAction::Reply { request_id, response });
            }
            Effect::SendStart { job, epoch } => {
                if let Some(run) = self.runs.get_mut(&job).filter(|run| run.epoch == epoch) {
                    run.committed = true;
                    self.send_order(&job, now, actions);
                }
            }
            Effect::SendStop { job } => {
                if let Some(run) = self.runs.get_mut(&job) {
                    run.goal = RunGoal::Stop;
                    run.last_order_at = None;
                    self.unsettled_runs.insert(job.clone());
                    self.send_order(&job, now, actions);
                }
            }
            Effect::SendSettled { agent, job, epoch } => {
                self.send_settled(agent, job, epoch, actions);
            }
        }
    }

    fn send_settled(&self, agent: Name, job: Name, epoch: u64, actions: &mut Vec<PlannerAction>) {
        let order = TaskRef { term: self.term, job, epoch };
        actions.push(PlannerAction::Send { agent, frame: ToAgent::Settled(order) });
    }

    /// Replaces records whose retention period has passed by tombstones, as part of the next
    /// commit.
    pub(super) fn drop_expired_records(&mut self, now: Now) {
        let before = now.wall_ms.saturating_sub(self.config.finished_retention_ms);
        for slot in &mut self.slots {
            if slot.dirty {
                slot.bucket.drop_finished_before(before);
            }
        }
    }
}
