use crate::{JobId, TaskId};

/// Identifies a step of one occurrence: job, number of the occurrence, number of the step.
pub(super) type StepKey = (JobId, u32, u16);

/// Returns the step that a task belongs to.
pub(super) const fn step_key(task: TaskId) -> StepKey {
    (task.job, task.occurrence, task.step)
}
