//! Changes of records and of what is derived from them.

use geraniumpost_schema::{Name, Priority, Resources};

use super::{Effect, Planner, PlannerAction, Run};
use crate::{
    Millis,
    jobs::{JobRecord, JobState, Now, Transition, TransitionError, bucket_of},
    placement::{TaskView, WorkerState, WorkerView, amounts},
};

impl Planner {
    pub(super) fn record(&self, job: &str) -> Option<&JobRecord> {
        self.slots[bucket_of(job)].bucket.get(job)
    }

    /// Applies a step to a record, if it has one, and marks its bucket for the next commit.
    pub(super) fn change(
        &mut self,
        job: &Name,
        step: Transition,
        moment: Now,
    ) -> Result<JobState, TransitionError> {
        let slot = &mut self.slots[bucket_of(job)];
        let Some(mut record) = slot.bucket.get(job).cloned() else {
            return Err(TransitionError::Finished);
        };
        let before = record.state();
        let after = record.apply(step, moment.wall_ms)?;
        slot.dirty = true;
        slot.bucket.put(record.clone());
        self.unindex(&record, before);
        self.index(&record);
        Ok(after)
    }

    fn unindex(&mut self, record: &JobRecord, before: JobState) {
        let job = record.id();
        let stays_placed = before.is_placed() && record.state().is_placed();
        match before {
            JobState::Pending => {
                self.pending.remove(job);
            }
            JobState::Assigned | JobState::Cancelling if !stays_placed => {
                self.runs.remove(job);
                self.restless.remove(job);
                self.fleet.remove_task(job);
            }
            _ => {}
        }
        if !before.is_final()
            && let Some(count) = self.unfinished.get_mut(&record.spec().customer)
        {
            *count = count.saturating_sub(1);
        }
    }

    /// Enters a record into the queue, the counts, and the load of its worker.
    pub(super) fn index(&mut self, record: &JobRecord) {
        if record.state().is_final() {
            return;
        }
        *self.unfinished.entry(record.spec().customer.clone()).or_default() += 1;
        if record.state() == JobState::Pending {
            self.pending.insert(record.id().clone());
        }
    }

    /// Enters a run that is in the store, as its assignment by an earlier planner was.
    pub(super) fn inherit(&mut self, record: &JobRecord, now: Millis) {
        let need = record.spec().need;
        let mut run = Run::inherited(record.worker().clone(), record.epoch(), need);
        if record.state() == JobState::Cancelling {
            run.wanted = super::Wanted::Stop;
        }
        self.add_run(record, run, now);
    }

    pub(super) fn add_run(&mut self, record: &JobRecord, run: Run, now: Millis) {
        self.know_worker(&run.agent);
        let task = self.task_view(record, run.need, now);
        self.fleet.add_task(&run.agent, task);
        self.restless.insert(record.id().clone());
        self.runs.insert(record.id().clone(), run);
    }

    /// Makes room for the runs of an agent that has not announced itself.
    fn know_worker(&mut self, agent: &Name) {
        if self.fleet.worker(agent).is_none() {
            let none = Name::default();
            let view = WorkerView::new(agent.clone(), none.clone(), none, amounts::NONE)
                .state(WorkerState::Lost);
            self.fleet.put_worker(view);
        }
        let view = self.agents.entry(agent.clone()).or_default();
        if view.link.is_none() {
            view.shown = WorkerState::Lost;
        }
    }

    /// Returns the runs of an agent as placement sees them.
    pub(super) fn tasks_of(&self, agent: &Name, now: Millis) -> Vec<TaskView> {
        self.runs
            .iter()
            .filter(|(_, run)| run.agent == *agent)
            .filter_map(|(job, run)| Some(self.task_view(self.record(job)?, run.need, now)))
            .collect()
    }

    fn task_view(&self, record: &JobRecord, need: Resources, now: Millis) -> TaskView {
        let spec = record.spec();
        let class = self.classes.get(&spec.class);
        TaskView::new(spec.id.clone(), spec.customer.clone(), spec.class.clone(), spec.need, now)
            .reserved(need)
            .priority(class.map_or(Priority::Normal, |class| class.priority))
            .evictable(class.is_none_or(|class| class.evictable))
    }

    /// Does something once the store has all that is now known of a job.
    pub(super) fn after_commit(
        &mut self,
        job: &str,
        effect: Effect,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let slot = &mut self.slots[bucket_of(job)];
        if slot.is_committed() {
            self.release(effect, moment.clock, actions);
        } else {
            // What is in memory may be newer than the open commit, so the effect waits for the next.
            slot.dirty = true;
            slot.waiting.push(effect);
        }
    }
}
