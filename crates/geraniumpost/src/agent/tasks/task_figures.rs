use geraniumpost_schema::Resources;

/// What heartbeats tell of the VM's tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskFigures {
    /// Highest planner term seen.
    pub term: u64,
    /// What the ledger holds reserved.
    pub reserved: Resources,
    /// Tasks running or being started.
    pub tasks: u32,
}
