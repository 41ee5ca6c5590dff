use geraniumpost_schema::Resources;

/// Summary of the VM's tasks for heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskSummary {
    /// Highest planner term seen.
    pub term: u64,
    /// Resources that are reserved for tasks.
    pub reserved: Resources,
    /// Number of tasks that run or are being started.
    pub tasks: u32,
}
