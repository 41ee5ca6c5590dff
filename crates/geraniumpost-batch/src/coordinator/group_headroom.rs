use geraniumpost_schema::Name;

use crate::TaskId;

/// Additional utilization that one group of serving tasks tolerates.
#[derive(Debug, Clone)]
pub(super) struct GroupHeadroom {
    /// The group's step, identified by its first task.
    pub(super) step: TaskId,
    /// Image of the group's tasks.
    pub(super) image: Name,
    /// How much the group's utilization may rise before its tail latency reaches
    /// [`MAX_SERVING_TAIL_LATENCY_RATIO`](crate::tuning::MAX_SERVING_TAIL_LATENCY_RATIO); negative
    /// if the tail latency is higher already.
    pub(super) utilization: f64,
}
