/// Events counted by a [`Planner`](super::Planner), for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlannerCounters {
    /// Commits sent to the store.
    pub commits: u64,
    /// Bucket reads sent to the store.
    pub reads: u64,
    /// Commits that conflicted or whose response was lost.
    pub commits_unclear: u64,
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs completed.
    pub completed: u64,
    /// Results discarded because the job had ended or the run was superseded.
    pub late_results: u64,
    /// Runs stopped because they were no longer the current run of their job.
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
