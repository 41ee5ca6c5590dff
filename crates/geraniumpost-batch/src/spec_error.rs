use derive_more::{Display, Error};

/// Why a job cannot be accepted as it is.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum SpecError {
    /// The job has no steps.
    #[display("a job needs at least one step")]
    NoSteps,
    /// A step has no tasks.
    #[display("step {_0} has no tasks")]
    EmptyStep(#[error(not(source))] usize),
    /// A step waits for itself or a later one, so that it could never begin.
    #[display("step {_0} waits for itself or a later step")]
    LaterPredecessor(#[error(not(source))] usize),
    /// The job has more tasks than a record holds.
    #[display("{_0} tasks are more than one job may have")]
    TooManyTasks(#[error(not(source))] u64),
}
