/// State of a run that the planner's orders request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunGoal {
    /// The run must start and continue.
    Run,
    /// The run must be checkpointed and stopped.
    Evict,
    /// The run must stop or never start.
    Stop,
}
