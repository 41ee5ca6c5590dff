use super::loss::Loss;

/// A part of an event, at one machine or at none.
#[derive(Debug, Clone, Copy)]
pub(super) enum Act {
    /// The minion gives notice that it will leave.
    Drain,
    /// The minion says its farewell, and ends with all it runs.
    Farewell,
    /// The minion ends with all it runs, and says nothing.
    Crash,
    /// Another incarnation of the minion starts.
    Reborn,
    /// Nothing passes between the machine and others, and no link says so.
    Cut,
    /// The machine is reached again.
    Mend,
    /// The agent is asked to stop.
    StopAgent,
    /// The agent ends at once.
    KillAgent,
    /// The agent starts, if need be once the one before has stopped.
    StartAgent,
    /// The coordinator is lost, and another entry takes over.
    TakeOver(Loss),
    /// An entry that was lost so answers again, and knows who coordinates.
    Word(u64),
    /// The coordinator is cut off from all but the machine's agent.
    CutOff,
    /// The coordinator that was cut off learns of its successor.
    Heal,
    /// Writes are not confirmed from now on.
    HoldWrites,
    /// Writes are confirmed again.
    PassWrites,
    /// The store confirms nothing, not even the coordinator.
    StoreAway,
    /// The store does so again.
    StoreBack,
    /// Whether orders are late.
    Late(bool),
    /// Whether all other machines are full.
    Full(bool),
}
