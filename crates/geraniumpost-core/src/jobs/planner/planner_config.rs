/// Times of a [`Planner`](super::Planner), in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerConfig {
    /// Shortest time between two commits of one bucket.
    pub commit_ms: u64,
    /// Longest time that a newer checkpoint's name waits for a commit of its own.
    pub lazy_commit_ms: u64,
    /// Time after which a store read that failed is tried again.
    pub store_retry_ms: u64,
    /// Time after which an order that had no effect is sent again.
    pub resend_ms: u64,
    /// Lease under which workers run tasks.
    pub worker_lease_ms: u64,
    /// Allowance for clocks of two VMs that run at different speeds, added to one percent.
    pub drift_margin_ms: u64,
    /// How long after its start a planner expects agents to announce themselves.
    pub settling_ms: u64,
    /// How long a silent agent without runs is remembered for what its VM could hold.
    pub forget_agent_ms: u64,
    /// How long placement must call a job impossible before it is given up. Workers come and go, and
    /// a planner that is cut from its agents sees none that could run anything.
    pub impossible_ms: u64,
    /// How long the record of a finished job is kept.
    pub finished_retention_ms: u64,
    /// Back-off after the first failed run; doubled with each further one.
    pub backoff_ms: u64,
    /// Longest back-off.
    pub max_backoff_ms: u64,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            commit_ms: 200,
            lazy_commit_ms: 30_000,
            store_retry_ms: 500,
            resend_ms: 1_000,
            worker_lease_ms: 6_000,
            drift_margin_ms: 500,
            settling_ms: 5_000,
            forget_agent_ms: 600_000,
            impossible_ms: 60_000,
            finished_retention_ms: 86_400_000,
            backoff_ms: 1_000,
            max_backoff_ms: 60_000,
        }
    }
}
