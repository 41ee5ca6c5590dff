use derive_more::{Display, Error};

use crate::http::SendError;

/// Why a call to a worker failed.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker knows no such task.
    #[display("the worker knows no such task")]
    NoSuchTask,
    /// The task's state does not allow the call, for example it has ended.
    #[display("the task's state does not allow this")]
    WrongState,
    /// The worker does not understand the order and never will.
    #[display("the worker rejects the order: {_0}")]
    Rejected(#[error(not(source))] String),
    /// The call certainly had no effect; it may be repeated.
    #[display("the worker did not take the call: {_0}")]
    Refused(#[error(not(source))] String),
    /// The call may have had its effect; list the tasks before anything is concluded.
    #[display("the worker's reply is missing: {_0}")]
    Uncertain(#[error(not(source))] String),
}

impl WorkerError {
    /// Tells whether the call certainly had no effect.
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
