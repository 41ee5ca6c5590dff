use derive_more::{Display, Error};

/// Why a job specification is invalid.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum SpecError {
    /// The list of steps is empty, so that the job would never finish.
    #[display("a job needs at least one step")]
    NoSteps,
    /// The step with this number has no tasks.
    #[display("step {_0} has no tasks")]
    EmptyStep(#[error(not(source))] usize),
    /// A step names itself or a later step as predecessor, so that it could never start.
    #[display("step {_0} names itself or a later step as predecessor")]
    LaterPredecessor(#[error(not(source))] usize),
    /// The job has more tasks than [`MAX_TASKS`](crate::MAX_TASKS), the limit of its record's size.
    #[display("the job has {_0} tasks, more than one job may have")]
    TooManyTasks(#[error(not(source))] u64),
}
