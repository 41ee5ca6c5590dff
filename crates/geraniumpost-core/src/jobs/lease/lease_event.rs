use super::LeaseConfig;

/// What a [`PlannerLease`](super::PlannerLease) is told: the answer to its one call, or the time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time passed.
    Tick,
    /// The value of the alive key, if there is one.
    AliveRead(Option<Vec<u8>>),
    /// The store granted a lease.
    Granted(u64),
    /// Whether the alive key was absent and is now ours.
    Claimed(bool),
    /// Revision and value of the term record, if there is one.
    TermRead(Option<(u64, Vec<u8>)>),
    /// The new revision of the term record, or none if it had changed.
    TermWritten(Option<u64>),
    /// Whether the store still knew the lease and extended it.
    KeptAlive(bool),
    /// The call failed or its answer was lost; it may have taken effect.
    CallFailed,
    /// The planner is sure that no earlier holder grants holds any more.
    PredecessorsExpired,
    /// The configuration changed.
    Configure(LeaseConfig),
    /// The planner has found that another one took over, or that it can't go on.
    StepDown,
    /// This process leaves and should let another plan.
    Resign,
}
