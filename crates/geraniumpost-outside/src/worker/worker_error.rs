use derive_more::{Display, Error};

use crate::http::SendError;

/// Why a call to a worker failed.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker has no task with this id.
    #[display("the worker knows no such task")]
    NoSuchTask,
    /// The state of the task does not allow the call, for example because it has ended.
    #[display("the task's state does not allow this")]
    WrongState,
    /// The worker considers the order invalid; repeating it is of no use.
    #[display("the worker rejects the order: {_0}")]
    Rejected(#[error(not(source))] String),
    /// The call certainly had no effect; it may be repeated.
    #[display("the worker did not take the call: {_0}")]
    Refused(#[error(not(source))] String),
    /// The call may have taken effect; the caller must list the tasks to find out.
    #[display("the worker's reply is missing: {_0}")]
    Uncertain(#[error(not(source))] String),
}

impl WorkerError {
    /// Returns whether the call certainly had no effect.
    pub const fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Uncertain(_))
    }
}

impl From<SendError> for WorkerError {
    fn from(e: SendError) -> Self {
        match e {
            SendError::NotSent(reason) => Self::Refused(reason),
            other => Self::Uncertain(other.to_string()),
        }
    }
}
