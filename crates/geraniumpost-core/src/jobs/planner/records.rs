//! Changes to records and to the indexes derived from them.

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

    /// Applies a transition to a job's record, if there is one, and marks its bucket for the next
    /// commit.
    pub(super) fn apply_transition(
        &mut self,
        job: &Name,
        transition: Transition,
        now: Now,
    ) -> Result<JobState, TransitionError> {
        let slot = &mut self.slots[bucket_of(job)];
        let Some(mut record) = slot.bucket.get(job).cloned() else {
            return Err(TransitionError::Finished);
        };
        let before = record.state();
        let after = record.apply(transition, now.wall_ms)?;
        slot.dirty = true;
        slot.bucket.put(record.clone());
        self.remove_from_index(&record, before);
        self.add_to_index(&record);
        Ok(after)
    }

    fn remove_from_index(&mut self, record: &JobRecord, before: JobState) {
        let job = record.id();
        let stays_placed = before.is_placed() && record.state().is_placed();
        match before {
            JobState::Pending => {
                self.pending.remove(job);
            }
            JobState::Assigned | JobState::Cancelling if !stays_placed => {
                self.runs.remove(job);
                self.unsettled_runs.remove(job);
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

    /// Adds an unfinished record to the count of its customer and, if pending, to the queue.
    pub(super) fn add_to_index(&mut self, record: &JobRecord) {
        if record.state().is_final() {
            return;
        }
        *self.unfinished.entry(record.spec().customer.clone()).or_default() += 1;
        if record.state() == JobState::Pending {
            self.pending.insert(record.id().clone());
        }
    }

    /// Adds a run that an earlier planner assigned and committed.
    pub(super) fn add_predecessor_run(&mut self, record: &JobRecord, now: Millis) {
        let need = record.spec().need;
        let mut run = Run::from_predecessor(record.worker().clone(), record.epoch(), need);
        if record.state() == JobState::Cancelling {
            run.goal = super::RunGoal::Stop;
        }
        self.add_run(record, run, now);
    }

    pub(super) fn add_run(&mut self, record: &JobRecord, run: Run, now: Millis) {
        self.ensure_worker(&run.agent);
        let task = self.task_view(record, run.need, now);
        self.fleet.add_task(&run.agent, task);
        self.unsettled_runs.insert(record.id().clone());
        self.runs.insert(record.id().clone(), run);
    }

    /// Creates the worker of an agent that has not registered, so that runs can be added to it.
    fn ensure_worker(&mut self, agent: &Name) {
        if self.fleet.worker(agent).is_none() {
            let none = Name::default();
            let view = WorkerView::new(agent.clone(), none.clone(), none, amounts::NONE)
                .state(WorkerState::Lost);
            self.fleet.put_worker(view);
        }
        let view = self.agents.entry(agent.clone()).or_default();
        if view.link.is_none() {
            view.placement_state = WorkerState::Lost;
        }
    }

    /// Returns the runs of an agent in the form used by placement.
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

    /// Applies an effect once the store contains the current state of the job's bucket.
    pub(super) fn apply_after_commit(
        &mut self,
        job: &str,
        effect: Effect,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let slot = &mut self.slots[bucket_of(job)];
        if slot.is_committed() {
            self.apply_effect(effect, now.clock, actions);
        } else {
            // The state in memory may be newer than the open commit, so the effect is queued for
            // the next commit.
            slot.dirty = true;
            slot.queued.push(effect);
        }
    }
}
