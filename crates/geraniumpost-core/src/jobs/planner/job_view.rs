use crate::jobs::JobRecord;

/// Record and current run of a job as shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct JobView {
    /// Record in the planner's memory, which may be newer than the store.
    pub record: JobRecord,
    /// Whether the store contains this record, except for a newer checkpoint.
    pub committed: bool,
    /// Whether the agent has reported the current run as starting or running.
    pub running: bool,
    /// Whether the planner has requested the eviction of the current run.
    pub evicting: bool,
}
