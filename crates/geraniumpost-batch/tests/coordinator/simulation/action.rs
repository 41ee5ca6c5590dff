use super::coordinator_loss::CoordinatorLoss;

/// A step of an event, at one machine or at none.
#[derive(Debug, Clone, Copy)]
pub(super) enum Action {
    /// The minion announces that it will leave.
    Drain,
    /// The minion deregisters, and terminates with all its runs.
    Deregister,
    /// The minion terminates with all its runs, without deregistering.
    Crash,
    /// Another incarnation of the minion starts.
    RestartMinion,
    /// The machine's network is cut, while its links stay open.
    Partition,
    /// The machine's network is restored.
    HealPartition,
    /// The agent is asked to stop.
    StopAgent,
    /// The agent is killed.
    KillAgent,
    /// The agent starts, after the previous one has stopped.
    StartAgent,
    /// The coordinator is lost, and another entry takes over.
    LoseCoordinator(CoordinatorLoss),
    /// The entry with this loss number answers again, and knows the current coordinator.
    EntryAnswers(u64),
    /// The coordinator is cut off from all but the machine's agent.
    IsolateCoordinator,
    /// The isolated coordinator learns of its successor.
    EndIsolation,
    /// Writes are no longer confirmed.
    HoldWrites,
    /// Writes are confirmed again.
    ResumeWrites,
    /// The store confirms neither writes nor the coordinator's term.
    StoreDown,
    /// The store is available again.
    StoreUp,
    /// Whether orders are delayed.
    DelayOrders(bool),
    /// Whether all other machines offer no free capacity.
    LimitOtherMachines(bool),
}
