use derive_more::{Display, Error};

/// The reason why a [`Transition`](super::Transition) was rejected; the record is unchanged.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum TransitionError {
    /// The job is in a final state.
    #[display("the job has finished")]
    Finished,
    /// The job is not assigned, so it has no run that could end.
    #[display("the job is not assigned")]
    NotAssigned,
    /// The job is not pending, so it can be neither assigned nor given up.
    #[display("the job is not pending")]
    NotPending,
}
