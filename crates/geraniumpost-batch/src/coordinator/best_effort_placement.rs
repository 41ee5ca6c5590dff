//! Minimum speed at which a best-effort task accepts a minion, and a shortcut for steps that no
//! minion accepts.

use super::Coordinator;
use super::headroom::BestEffortSpeed;
use crate::{Demand, JobId, Now, StepSpec, TaskId};

/// Minimum fraction of a best-effort task's full speed that a minion's unused processors must
/// allow; the task waits if no minion offers that. A job is as slow as its slowest task, so one
/// task on a crowded minion delays all others; with a higher bound, processors on which the task
/// would be fast enough stay idle in a full fleet.
const MIN_SPEED_ON_UNUSED_CPUS: f64 = 0.7;
/// Maximum fraction of the headroom of any serving group that a best-effort task may use. The rest
/// is left for a rise of the user load while the task runs, and for slopes that were estimated too
/// low; without it the task would be throttled or moved before it is done, after it has slowed the
/// serving tasks.
const MAX_HEADROOM_SHARE: f64 = 0.7;
/// How long a job may have no runs before its next best-effort task accepts any speed, in
/// milliseconds. Without this limit, a job would wait although processors are unused if no minion
/// has headroom for its tasks.
const IDLE_JOB_TIMEOUT_MS: u64 = 1_800;

impl Coordinator {
    /// Returns whether a task accepts a minion with this speed rather than wait for a faster one.
    pub(super) fn accepts_speed(
        &self,
        task: TaskId,
        spec: &StepSpec,
        speed: BestEffortSpeed,
        now: Now,
    ) -> bool {
        let may_wait = spec.best_effort && !self.is_job_idle(task, now);
        !may_wait
            || (speed.speed_on_unused_cpus >= MIN_SPEED_ON_UNUSED_CPUS
                && speed.headroom_share <= MAX_HEADROOM_SHARE)
    }

    /// Returns whether a task's job has had no runs for [`IDLE_JOB_TIMEOUT_MS`].
    pub(super) fn is_job_idle(&self, task: TaskId, now: Now) -> bool {
        let since_ms = self.jobs.get(&task.job).and_then(|job| job.idle_since_ms);
        since_ms.is_some_and(|since| now.steady_ms >= since + IDLE_JOB_TIMEOUT_MS)
            && self.tasks_with_runs(task.job).is_empty()
    }

    /// Returns whether no minion accepts a best-effort step, because all minions rejected a step of
    /// the same service and image with no larger demand in this round.
    ///
    /// Under overload hundreds of steps wait for the same few kinds of minions, and checking every
    /// minion for each step would take most of a small VM's processor.
    pub(super) fn is_unplaceable(&self, id: JobId, spec: &StepSpec) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|_| spec.best_effort) else { return false };
        let key = (job.record.terms.service.clone(), spec.image.clone());
        let needs_at_least = |smaller: &Demand| {
            spec.demand.milli_cpus >= smaller.milli_cpus
                && spec.demand.memory_mb >= smaller.memory_mb
        };
        self.unplaceable.get(&key).is_some_and(needs_at_least)
    }

    /// Records that a step found no minion in this round.
    pub(super) fn record_unplaceable(&mut self, id: JobId, spec: &StepSpec) {
        let Some(job) = self.jobs.get(&id) else { return };
        let terms = &job.record.terms;
        let is_unconstrained = spec.required_label.is_empty() && spec.max_per_minion == 0;
        if spec.best_effort
            && is_unconstrained
            && !terms.needs_approval
            && !self.is_unplaceable(id, spec)
        {
            self.unplaceable.insert((terms.service.clone(), spec.image.clone()), spec.demand);
        }
    }
}
