//! Resources that are held for persistent tasks that lost their run, and for tasks for which other
//! runs were stopped.
//!
//! Persistent tasks are large and short tasks are small. In a full fleet, each short run that ends
//! frees too little for a persistent task, and the next short task takes it. A persistent task that
//! lost its run would stay down as long as short tasks wait, although many times its demand becomes
//! free each second.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::capacity_shortfall::{relative_shortfall, shortfall};
use super::eligibility::is_below_limit_per_minion;
use super::job::is_interrupted_too_long;
use super::minion::Minion;
use super::rejection::Rejection;
use super::run::reserved_resources;
use crate::{Demand, Now, StepSpec, TaskId};

/// Number of minions for each task for which resources may be held at once. Held resources are idle
/// until enough short runs have ended; after the loss of many minions, the limit keeps the rest of
/// the fleet at work.
const MINIONS_PER_HELD_TASK: usize = 4;

impl Coordinator {
    /// Releases all held resources at the start of a placement round.
    pub(super) fn release_held_room(&mut self) {
        for minion in self.minions.values_mut() {
            minion.held = Demand::default();
        }
        self.held_before = std::mem::take(&mut self.held_for);
    }

    /// Holds resources for those of `waiting` that ran before, if their job has been interrupted
    /// too long. The tasks belong to one step, and no minion accepts them now.
    ///
    /// Tasks of a lower rank cannot use these resources in this round, so that they accumulate from
    /// round to round until the task fits.
    pub(super) fn hold_room(&mut self, waiting: &[TaskId], spec: &StepSpec, now: Now) {
        let job = waiting.first().and_then(|task| self.jobs.get(&task.job));
        let due = job.is_some_and(|job| is_interrupted_too_long(job, now));
        if !due || !spec.persistent || spec.best_effort || spec.gang {
            return;
        }
        let max_held = (self.minions.len() / MINIONS_PER_HELD_TASK).max(1);
        for task in waiting {
            let ran = self.task_record(*task).is_some_and(|record| record.run > 0);
            let is_held = self.held_for.contains(task);
            if !ran || is_held || self.held_for.len() >= max_held {
                continue;
            }
            let Some(id) = self.minion_to_hold(*task, spec, now) else { return };
            let Some(minion) = self.minions.get_mut(&id) else { return };
            let lacking = shortfall(minion, spec);
            minion.held += reserved_resources(spec);
            self.held_for.insert(*task);
            if !self.held_before.contains(task) {
                self.log(format!(
                    "decision=hold_room job={} task={task} minion={id} lacks_milli_cpus={} \
                     lacks_memory_mb={}",
                    task.job, lacking.milli_cpus, lacking.memory_mb
                ));
            }
        }
    }

    /// Holds resources on a minion for a task for which runs were stopped there.
    pub(super) fn hold_preempted_room(&mut self, task: TaskId, spec: &StepSpec, minion: &Name) {
        let Some(minion) = self.minions.get_mut(minion) else { return };
        minion.held += reserved_resources(spec);
        self.held_for.insert(task);
    }

    /// Returns the minion that lacks the least for a task and will have capacity for it once its
    /// runs with an end are over; `None` if there is no such minion.
    fn minion_to_hold(&self, task: TaskId, spec: &StepSpec, now: Now) -> Option<Name> {
        let requirements = self.requirements(task, spec)?;
        let next = self.jobs.get(&task.job)?.next_placements.get(&task);
        let avoided_minion = next.and_then(|next| next.avoided_minion.as_ref());
        let will_fit = |minion: &&Minion| {
            let free = minion.info.capacity - minion.persistent_reserved - minion.held;
            reserved_resources(spec).fits(free)
                && is_below_limit_per_minion(task, spec, minion)
                && avoided_minion != Some(&minion.info.id)
        };
        let lacks_capacity = |minion: &&Minion| {
            self.task_rejection(&requirements, minion, now) == Some(Rejection::NoCapacity)
        };
        self.minions
            .values()
            .filter(will_fit)
            .filter(lacks_capacity)
            .min_by_key(|minion| relative_shortfall(minion, spec))
            .map(|minion| minion.info.id.clone())
    }
}
