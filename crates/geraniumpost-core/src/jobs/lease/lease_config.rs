/// Times of a [`PlannerLease`](super::PlannerLease), in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseConfig {
    /// Time to live of the store lease. The holder renews the lease after a third of this time.
    pub ttl_ms: u64,
    /// Interval at which a process that is not the planner checks whether there is a planner.
    pub poll_interval_ms: u64,
    /// How long a planner that cannot reach the store continues to grant agent leases
    /// (`outage_hold_s`).
    pub outage_hold_ms: u64,
    /// Maximum duration of the agent leases that a planner grants (`hold_ms`).
    pub hold_ms: u64,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self { ttl_ms: 6_000, poll_interval_ms: 2_000, outage_hold_ms: 600_000, hold_ms: 10_000 }
    }
}
