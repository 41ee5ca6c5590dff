use derive_more::{Display, Error};

/// Why a job specification is invalid.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum SpecError {
    /// The list of steps is empty; such a job would never finish.
    #[display("a job needs at least one step")]
    NoSteps,
    /// The step with this number has no tasks.
    #[display("step {_0} has no tasks")]
    EmptyStep(#[error(not(source))] usize),
    /// The step with this number depends on itself or on a later step, and could never start.
    #[display("step {_0} names itself or a later step as predecessor")]
    LaterPredecessor(#[error(not(source))] usize),
    /// The job has more than [`MAX_TASKS`](crate::MAX_TASKS) tasks; its record would be too large
    /// for the store.
    #[display("the job has {_0} tasks, more than one job may have")]
    TooManyTasks(#[error(not(source))] u64),
}
