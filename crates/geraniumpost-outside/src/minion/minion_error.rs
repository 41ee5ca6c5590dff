use derive_more::{Display, Error};

use crate::http::SendError;

/// Why a request to a minion did not get a complete response.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum MinionError {
    /// No byte of the request was sent, so it certainly did not run.
    #[display("not sent to the minion: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The connection failed after the request may have arrived; it may have run.
    #[display("connection to the minion failed: {_0}")]
    Failed(#[error(not(source))] String),
    /// The response is truncated or has no length by which it could be shown to be complete; the
    /// request ran.
    #[display("response of the minion truncated: {_0}")]
    Truncated(#[error(not(source))] String),
    /// The body of the response exceeds the limit in bytes; the request ran.
    #[display("response of the minion larger than {_0} bytes")]
    TooLarge(#[error(not(source))] usize),
    /// The timeout expired after the request may have arrived; it may have run or still be running.
    #[display("the minion did not respond in time")]
    TimedOut,
}

impl MinionError {
    /// Returns whether the request certainly did not run.
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
            SendError::TooLarge(max_bytes) => Self::TooLarge(max_bytes),
            SendError::TimedOut => Self::TimedOut,
        }
    }
}
