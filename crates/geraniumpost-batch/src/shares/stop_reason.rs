use derive_more::Display;

/// Why a run gives its resources to a more urgent task; reasons that cost less come first.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "snake_case")]
pub enum StopReason {
    /// The run's job is so late that its result has no value any more.
    PastValue,
    /// The run is a best-effort run that is suspended, and keeps its memory.
    StandsStill,
    /// The run is a best-effort run of a queue with lower priority.
    BestEffort,
    /// The run belongs to a queue with lower priority.
    LowerPriority,
}

impl StopReason {
    /// All reasons, in their order.
    pub const ALL: [Self; 4] =
        [Self::PastValue, Self::StandsStill, Self::BestEffort, Self::LowerPriority];
}
