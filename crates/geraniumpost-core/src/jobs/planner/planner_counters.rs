/// Events counted by a [`Planner`](super::Planner), for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlannerCounters {
    /// Commits sent to the store, including those that failed.
    pub commits: u64,
    /// Bucket reads sent to the store, including repeated reads.
    pub reads: u64,
    /// Commits that conflicted or whose response was lost, so that the bucket was read back.
    pub uncertain_commits: u64,
    /// Submissions for which a new record was created.
    pub accepted: u64,
    /// Runs whose completion finished their job.
    pub completed: u64,
    /// Results discarded because the job had ended or the run was superseded.
    pub late_results: u64,
    /// Runs stopped because they were no longer the current run of their job.
    pub late_runs: u64,
    /// Runs that were checkpointed and stopped to free their resources.
    pub evicted: u64,
    /// Runs whose start an agent refused.
    pub refused: u64,
    /// Runs that ended with an error of their own.
    pub failed_runs: u64,
    /// Runs lost with their agent or worker, and runs stopped by an order.
    pub lost_runs: u64,
}
