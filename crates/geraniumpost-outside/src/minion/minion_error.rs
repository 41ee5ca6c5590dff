use derive_more::{Display, Error};

use crate::http::SendError;

/// Why a minion gave no whole answer.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum MinionError {
    /// No byte of the request was written, so it certainly did not run.
    #[display("not sent to the minion: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The connection broke after the request was sent; it may have run.
    #[display("the minion broke off: {_0}")]
    Failed(#[error(not(source))] String),
    /// The answer was cut short or cannot be shown to be whole; the request ran.
    #[display("the minion's answer is not whole: {_0}")]
    Truncated(#[error(not(source))] String),
    /// The answer is larger than allowed; the request ran.
    #[display("the minion's answer is larger than {_0} bytes")]
    TooLarge(#[error(not(source))] usize),
    /// The time was over after sending; the request may have run and may still be running.
    #[display("the minion did not answer in time")]
    TimedOut,
}

impl MinionError {
    /// Tells whether the request certainly did not run.
    pub const fn did_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

impl From<SendError> for MinionError {
    fn from(e: SendError) -> Self {
        match e {
            SendError::NotSent(reason) => Self::NotSent(reason),
            SendError::Failed(reason) => Self::Failed(reason),
            SendError::Truncated(reason) => Self::Truncated(reason),
            SendError::TooLarge(most) => Self::TooLarge(most),
            SendError::TimedOut => Self::TimedOut,
        }
    }
}
