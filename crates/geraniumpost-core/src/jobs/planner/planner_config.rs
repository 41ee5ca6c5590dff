/// Times of a [`Planner`](super::Planner), in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerConfig {
    /// Minimum time between two commits of one bucket.
    pub commit_interval_ms: u64,
    /// Longest delay of a commit that would change nothing but checkpoint names.
    pub max_checkpoint_delay_ms: u64,
    /// Time after which a failed store read is repeated.
    pub store_retry_interval_ms: u64,
    /// Time after which an order that had no effect is repeated.
    pub resend_interval_ms: u64,
    /// Duration of the lease under which workers run tasks.
    pub worker_lease_ms: u64,
    /// Allowance for clocks of two VMs that run at different speeds, in addition to one percent.
    pub drift_margin_ms: u64,
    /// Time after the start of a term in which agents are expected to register.
    pub settling_ms: u64,
    /// How long an agent without a link is kept after its runs must have ended, so that its
    /// capacity remains known.
    pub agent_retention_ms: u64,
    /// How long placement must consider a job impossible before the job fails. Workers may be
    /// temporarily unavailable, and a planner that is disconnected from its agents knows no worker
    /// that could run the job.
    pub impossible_timeout_ms: u64,
    /// How long the record of a finished job is kept before a tombstone replaces it.
    pub finished_retention_ms: u64,
    /// Back-off after the first failed run, doubled with each further failed run.
    pub backoff_ms: u64,
    /// Upper limit of the back-off before jitter, which varies the back-off by up to 50 % either
    /// way.
    pub max_backoff_ms: u64,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            commit_interval_ms: 200,
            max_checkpoint_delay_ms: 30_000,
            store_retry_interval_ms: 500,
            resend_interval_ms: 1_000,
            worker_lease_ms: 6_000,
            drift_margin_ms: 500,
            settling_ms: 5_000,
            agent_retention_ms: 600_000,
            impossible_timeout_ms: 60_000,
            finished_retention_ms: 86_400_000,
            backoff_ms: 1_000,
            max_backoff_ms: 60_000,
        }
    }
}
