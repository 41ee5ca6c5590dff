/// Times of a [`PlannerLease`](super::PlannerLease), in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseConfig {
    /// Time to live of the store lease, renewed at a third of it.
    pub ttl_ms: u64,
    /// Interval at which a process that doesn't plan looks whether anybody does.
    pub poll_ms: u64,
    /// How long a planner cut from the store goes on granting holds (`outage_hold_s`).
    pub outage_hold_ms: u64,
    /// Longest hold it grants (`hold_ms`).
    pub hold_ms: u64,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self { ttl_ms: 6_000, poll_ms: 2_000, outage_hold_ms: 600_000, hold_ms: 10_000 }
    }
}
