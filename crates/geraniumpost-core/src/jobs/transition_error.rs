use derive_more::{Display, Error};

/// Why a [`Transition`](super::Transition) did not apply; the record is unchanged.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum TransitionError {
    /// The job has finished.
    #[display("the job has finished")]
    Finished,
    /// The job is not assigned, so that no run of it can end.
    #[display("the job is not assigned")]
    NotAssigned,
    /// The job is not pending, so that it cannot be placed or given up.
    #[display("the job is not pending")]
    NotPending,
}
