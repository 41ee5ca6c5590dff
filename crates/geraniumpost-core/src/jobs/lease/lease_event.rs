use super::LeaseConfig;

/// An input of a [`PlannerLease`](super::PlannerLease): the result of its open store call, a tick,
/// or a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed: checks for an expired term and begins the next store call, if due.
    Tick,
    /// Value of the alive key, `None` if it is absent.
    AliveRead(Option<Vec<u8>>),
    /// The store granted a lease with this id.
    Granted(u64),
    /// Whether the alive key was absent and now belongs to this process.
    Claimed(bool),
    /// Revision and value of the term record, `None` if it is absent.
    TermRead(Option<(u64, Vec<u8>)>),
    /// New revision of the term record, `None` if the record had changed in the meantime.
    TermWritten(Option<u64>),
    /// Whether the lease still existed and was renewed.
    KeptAlive(bool),
    /// The call failed or its response was lost; it may have taken effect.
    CallFailed,
    /// No earlier holder can grant agent leases any longer.
    PredecessorsExpired,
    /// The configured times have changed; longer times apply once the term record contains them.
    Configure(LeaseConfig),
    /// The planner found that another planner took over, or that the stored records are unusable.
    StepDown,
    /// This process is shutting down and another process should become the planner.
    Resign,
}
