use derive_more::{Display, Error};

/// Why a request has no whole answer.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum SendError {
    /// Not one byte of the request was written.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// Some of the request may have arrived, and the connection broke.
    #[display("failed after sending: {_0}")]
    Failed(#[error(not(source))] String),
    /// An answer began and broke off, or cannot be shown to be whole.
    #[display("answer cut short: {_0}")]
    Truncated(#[error(not(source))] String),
    /// The answer is larger than allowed.
    #[display("answer larger than {_0} bytes")]
    TooLarge(#[error(not(source))] usize),
    /// The time was over after the request had been sent.
    #[display("timed out after sending")]
    TimedOut,
}
