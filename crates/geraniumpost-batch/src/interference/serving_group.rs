use geraniumpost_schema::Name;

use crate::TaskId;

/// The tasks of one serving step on one minion. They have the same users and share the minion with
/// the same tasks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServingGroup {
    /// Incarnation of the minion on which the tasks run.
    pub minion: Name,
    /// The step, identified by its first task.
    pub step: TaskId,
}

impl ServingGroup {
    /// Returns the group of a task on a minion.
    pub fn of(task: TaskId, minion: &Name) -> Self {
        Self { minion: minion.clone(), step: TaskId { index: 0, ..task } }
    }
}
