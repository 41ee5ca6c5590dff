/// What the planner wants of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Wanted {
    /// It is to start and go on.
    Run,
    /// It is to be checkpointed and stopped.
    Evict,
    /// It is to stop, or never to start.
    Stop,
}
