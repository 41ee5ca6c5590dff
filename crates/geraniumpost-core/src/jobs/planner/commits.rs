//! Reading and writing buckets.

use geraniumpost_schema::{Name, TaskRef, ToAgent};

use super::{Effect, Planner, PlannerAction, Stage, Wanted};
use crate::{
    Millis,
    jobs::{Bucket, JobRecord, Now},
};

impl Planner {
    pub(super) fn read_unknown(&mut self, moment: Now, actions: &mut Vec<PlannerAction>) {
        let retry_ms = self.config.store_retry_ms;
        for (bucket, slot) in self.slots.iter_mut().enumerate() {
            let paced = slot.last_call.0 == 0 || moment.clock.since(slot.last_call) >= retry_ms;
            if slot.stage == Stage::Unknown && paced {
                slot.stage = Stage::Reading;
                slot.last_call = moment.clock;
                self.counters.reads += 1;
                actions.push(PlannerAction::Read { bucket });
            }
        }
    }

    /// Sends every commit that is due.
    pub(super) fn flush(&mut self, moment: Now, actions: &mut Vec<PlannerAction>) {
        if !self.standing.may_assign() || self.stepped_down {
            return;
        }
        let (commit_ms, lazy_ms) = (self.config.commit_ms, self.config.lazy_commit_ms);
        for (bucket, slot) in self.slots.iter_mut().enumerate() {
            if !slot.is_due(moment.clock, commit_ms, lazy_ms) {
                continue;
            }
            slot.stage = Stage::Writing;
            slot.sequence += 1;
            slot.dirty = false;
            slot.lazy_since = None;
            slot.last_call = moment.clock;
            slot.flying.append(&mut slot.waiting);
            let value = slot.bucket.encode(self.term, slot.sequence);
            self.counters.commits += 1;
            actions.push(PlannerAction::Commit { bucket, expected: slot.revision, value });
        }
    }

    pub(super) fn on_commit_done(
        &mut self,
        bucket: usize,
        revision: u64,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(slot) = self.slots.get_mut(bucket) else { return };
        if !matches!(slot.stage, Stage::Writing | Stage::Reading) {
            return;
        }
        slot.stage = Stage::Ready;
        slot.revision = Some(revision);
        slot.fenced = true;
        for effect in std::mem::take(&mut slot.flying) {
            self.release(effect, moment.clock, actions);
        }
    }

    /// Reads a bucket back after a commit of which it is not known whether it took effect.
    ///
    /// A conflict is no clearer than a lost reply: an earlier commit of this planner, thought lost,
    /// may have arrived in between.
    pub(super) fn on_commit_unclear(
        &mut self,
        bucket: usize,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(slot) = self.slots.get_mut(bucket) else { return };
        if slot.stage != Stage::Writing {
            return;
        }
        slot.stage = Stage::Reading;
        slot.last_call = moment.clock;
        self.counters.commits_unclear += 1;
        self.counters.reads += 1;
        actions.push(PlannerAction::Read { bucket });
    }

    pub(super) fn on_read_failed(&mut self, bucket: usize, moment: Now) {
        let Some(slot) = self.slots.get_mut(bucket) else { return };
        if slot.stage == Stage::Reading {
            slot.stage = Stage::Unknown;
            slot.last_call = moment.clock;
        }
    }

    pub(super) fn on_read(
        &mut self,
        bucket: usize,
        found: Option<(u64, Vec<u8>)>,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        if self.slots.get(bucket).is_none_or(|slot| slot.stage != Stage::Reading) {
            return;
        }
        let (revision, read) = match found.map(|(at, value)| (at, Bucket::decode(&value))) {
            Some((_, Err(_))) => return self.step_down("a bucket can't be read", actions),
            Some((revision, Ok(read))) => (Some(revision), read),
            None => (None, Bucket::default()),
        };
        let slot = &self.slots[bucket];
        if read.term() > self.term {
            self.step_down("a later planner wrote a bucket", actions);
        } else if read.term() == self.term && read.sequence() == slot.sequence {
            let revision = revision.unwrap_or_default();
            self.on_commit_done(bucket, revision, moment, actions);
        } else if read.term() == self.term && read.sequence() > slot.sequence {
            self.step_down("another planner wrote under the same term", actions);
        } else if slot.fenced && read.term() < self.term {
            self.step_down("a bucket was rolled back", actions);
        } else {
            self.take_in(bucket, revision, read, moment);
        }
    }

    /// Takes over a value that the open commit has not replaced.
    fn take_in(&mut self, bucket: usize, revision: Option<u64>, read: Bucket, moment: Now) {
        let own = read.term() == self.term;
        let slot = &mut self.slots[bucket];
        slot.stage = Stage::Ready;
        slot.revision = revision;
        slot.take_back();
        if own || slot.fenced {
            return;
        }
        let old: Vec<JobRecord> = slot.bucket.records().cloned().collect();
        slot.bucket = read;
        let new: Vec<JobRecord> = slot.bucket.records().cloned().collect();
        for record in &old {
            self.forget(record);
        }
        for record in &new {
            self.index(record);
            if record.state().is_placed() {
                self.inherit(record, moment.clock);
            }
        }
    }

    fn forget(&mut self, record: &JobRecord) {
        self.pending.remove(record.id());
        if self.runs.remove(record.id()).is_some() {
            self.restless.remove(record.id());
            self.fleet.remove_task(record.id());
        }
        if !record.state().is_final()
            && let Some(count) = self.unfinished.get_mut(&record.spec().customer)
        {
            *count = count.saturating_sub(1);
        }
    }

    pub(super) fn step_down(&mut self, why: &'static str, actions: &mut Vec<PlannerAction>) {
        self.stepped_down = true;
        actions.push(PlannerAction::StepDown(why));
    }

    /// Carries out what had waited for a commit.
    pub(super) fn release(
        &mut self,
        effect: Effect,
        now: Millis,
        actions: &mut Vec<PlannerAction>,
    ) {
        match effect {
            Effect::Reply { reply, answer } => {
                actions.push(PlannerAction::Reply { reply, answer });
            }
            Effect::Assigned { job, epoch } => {
                if let Some(run) = self.runs.get_mut(&job).filter(|run| run.epoch == epoch) {
                    run.committed = true;
                    self.drive(&job, now, actions);
                }
            }
            Effect::CancelWanted { job } => {
                if let Some(run) = self.runs.get_mut(&job) {
                    run.wanted = Wanted::Stop;
                    run.last_order = None;
                    self.restless.insert(job.clone());
                    self.drive(&job, now, actions);
                }
            }
            Effect::Settled { agent, job, epoch } => self.send_settled(agent, job, epoch, actions),
        }
    }

    fn send_settled(&self, agent: Name, job: Name, epoch: u64, actions: &mut Vec<PlannerAction>) {
        let order = TaskRef { term: self.term, job, epoch };
        actions.push(PlannerAction::Send { agent, frame: ToAgent::Settled(order) });
    }

    /// Replaces records of jobs that finished long ago by tombstones, with the next commit.
    pub(super) fn bury_finished(&mut self, moment: Now) {
        let before = moment.wall_ms.saturating_sub(self.config.finished_retention_ms);
        for slot in &mut self.slots {
            if slot.dirty {
                slot.bucket.drop_finished_before(before);
            }
        }
    }
}
