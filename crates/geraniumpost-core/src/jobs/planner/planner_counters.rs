/// What a [`Planner`](super::Planner) did or refused, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlannerCounters {
    /// Commits sent to the store.
    pub commits: u64,
    /// Reads sent to the store.
    pub reads: u64,
    /// Commits whose reply was lost or that conflicted.
    pub commits_unclear: u64,
    /// Jobs recorded.
    pub accepted: u64,
    /// Jobs completed.
    pub completed: u64,
    /// Results that came after the job had ended or its run was over.
    pub late_results: u64,
    /// Runs stopped because the job had moved on.
    pub late_runs: u64,
    /// Runs evicted.
    pub evicted: u64,
    /// Runs that agents refused.
    pub refused: u64,
    /// Runs that failed.
    pub failed_runs: u64,
    /// Runs lost with their agent or worker.
    pub lost_runs: u64,
}
