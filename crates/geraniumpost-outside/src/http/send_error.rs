use derive_more::{Display, Error};

/// Why a request did not get a complete response.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The connection failed after bytes of the request may have reached the server.
    #[display("failed after sending: {_0}")]
    Failed(#[error(not(source))] String),
    /// The response is truncated, or has no length by which it could be shown to be complete.
    #[display("response truncated: {_0}")]
    Truncated(#[error(not(source))] String),
    /// The body of the response exceeds the limit in bytes.
    #[display("response larger than {_0} bytes")]
    TooLarge(#[error(not(source))] usize),
    /// The timeout expired after the request may have been sent.
    #[display("timed out after sending")]
    TimedOut,
}
