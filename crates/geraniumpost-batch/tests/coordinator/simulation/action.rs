use super::coordinator_loss::CoordinatorLoss;

/// A change that an [`Event`](super::Event) makes at some time. It applies to the machine of the
/// event, unless the variant names something else.
#[derive(Debug, Clone, Copy)]
pub(super) enum Action {
    /// The minion starts to drain.
    Drain,
    /// The minion deregisters, and terminates with all its runs.
    Deregister,
    /// The minion terminates with all its runs, without deregistering.
    Crash,
    /// A new incarnation of the minion starts, unless one is running.
    RestartMinion,
    /// The machine's network is cut, while the agent's link stays open.
    Partition,
    /// The machine's network is restored, and the agent opens a new link.
    HealPartition,
    /// The agent is asked to stop, which it does once its departures are settled.
    StopAgent,
    /// The agent is killed. If the network is up, its link closes.
    KillAgent,
    /// The agent starts, once the previous process has stopped.
    StartAgent,
    /// The coordinator is lost in the given way, and another entry takes over.
    LoseCoordinator(CoordinatorLoss),
    /// The coordinator with this loss number (see `Succession::losses`) responds again, and knows
    /// that it has a successor.
    EntryResponds(u64),
    /// The coordinator is isolated from all processes except the machine's agent.
    IsolateCoordinator,
    /// The isolated coordinator learns of its successor and ends.
    EndIsolation,
    /// The store no longer confirms writes.
    HoldWrites,
    /// The store confirms writes again, unless it is unavailable.
    ResumeWrites,
    /// The store confirms neither writes nor the coordinator's term.
    StoreDown,
    /// The store confirms the coordinator's term and writes again, including those held back.
    StoreUp,
    /// Sets whether orders to all machines are delayed.
    DelayOrders(bool),
    /// Sets whether all other machines offer no free capacity.
    LimitOtherMachines(bool),
}
