/// The state to which the planner brings a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunGoal {
    /// The run shall start and continue.
    Run,
    /// The run shall be checkpointed and stopped.
    Evict,
    /// The run shall stop or never start.
    Stop,
}
