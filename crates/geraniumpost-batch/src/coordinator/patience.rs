//! For how good a place a filling task waits, and how little asking for one may cost.

use super::Coordinator;
use super::rooms::FillSpeed;
use crate::{Demand, JobId, Now, StepSpec, TaskId};

/// Share of its speed below which unused processors are too few for a filling task, so that it waits. A job
/// is as slow as its slowest task, so one bound to a crowded minion holds up all the others; a full fleet
/// that waits for more lets good enough places lie idle.
const LEAST_UNUSED: f64 = 0.7;
/// The same for the share at which it harms nobody. It is higher, as what serving tasks bear shrinks when
/// their load rises, and the task would be slowed down or moved halfway.
const LEAST_HARMLESS: f64 = 0.9;
/// How long a job may have nothing at work before its next filling task begins at any speed, in
/// milliseconds. Where no minion bears it its users would otherwise wait beside unused processors.
const IDLE_MS: u64 = 1_800;

impl Coordinator {
    /// Returns whether a task begins at this speed rather than wait for a better place.
    pub(super) fn takes(&self, task: TaskId, spec: &StepSpec, speed: FillSpeed, now: Now) -> bool {
        let patient = spec.best_effort && !self.is_idle(task, now);
        !patient || (speed.unused >= LEAST_UNUSED && speed.harmless >= LEAST_HARMLESS)
    }

    /// Returns whether a task's job has had nothing at work for long.
    pub(super) fn is_idle(&self, task: TaskId, now: Now) -> bool {
        let since_ms = self.jobs.get(&task.job).and_then(|job| job.idle_ms);
        since_ms.is_some_and(|since| now.steady_ms >= since + IDLE_MS)
            && self.runs_of(task.job).is_empty()
    }

    /// Returns whether no minion takes a filling step, as one like it has just found none.
    ///
    /// Under overload hundreds of steps wait for the same few kinds of places, and asking every
    /// minion for each of them would take most of a small VM's processor.
    pub(super) fn is_unplaceable(&self, id: JobId, spec: &StepSpec) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|_| spec.best_effort) else { return false };
        let kind = (job.record.terms.service.clone(), spec.image.clone());
        let at_least = |smaller: &Demand| {
            spec.demand.milli_cpus >= smaller.milli_cpus
                && spec.demand.memory_mb >= smaller.memory_mb
        };
        self.unplaceable.get(&kind).is_some_and(at_least)
    }

    /// Takes note that a step has found no place in this round.
    pub(super) fn note_unplaceable(&mut self, id: JobId, spec: &StepSpec) {
        let Some(job) = self.jobs.get(&id) else { return };
        let terms = &job.record.terms;
        let plain = spec.required_label.is_empty() && spec.max_per_minion == 0;
        if spec.best_effort && plain && !terms.needs_approval && !self.is_unplaceable(id, spec) {
            self.unplaceable.insert((terms.service.clone(), spec.image.clone()), spec.demand);
        }
    }
}
