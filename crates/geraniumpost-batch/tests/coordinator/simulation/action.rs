use super::coordinator_loss::CoordinatorLoss;

/// A part of an event, at one machine or at none.
#[derive(Debug, Clone, Copy)]
pub(super) enum Action {
    /// The minion gives notice that it will leave.
    Drain,
    /// The minion says its farewell, and ends with all it runs.
    Deregister,
    /// The minion ends with all it runs, and says nothing.
    Crash,
    /// Another incarnation of the minion starts.
    RestartMinion,
    /// Nothing passes between the machine and others, and no link says so.
    Partition,
    /// The machine is reached again.
    HealPartition,
    /// The agent is asked to stop.
    StopAgent,
    /// The agent ends at once.
    KillAgent,
    /// The agent starts, if need be once the one before has stopped.
    StartAgent,
    /// The coordinator is lost, and another entry takes over.
    LoseCoordinator(CoordinatorLoss),
    /// An entry that was lost so answers again, and knows who coordinates.
    EntryAnswers(u64),
    /// The coordinator is cut off from all but the machine's agent.
    IsolateCoordinator,
    /// The coordinator that was cut off learns of its successor.
    EndIsolation,
    /// Writes are not confirmed from now on.
    HoldWrites,
    /// Writes are confirmed again.
    ResumeWrites,
    /// The store confirms nothing, not even the coordinator.
    StoreDown,
    /// The store does so again.
    StoreUp,
    /// Whether orders are late.
    DelayOrders(bool),
    /// Whether all other machines are full.
    LimitOtherMachines(bool),
}
