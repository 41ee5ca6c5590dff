use derive_more::{Display, Error};

use crate::http::SendError;

/// Why a call to the store failed.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The condition did not hold; the write had no effect.
    #[display("another write came first, the key stands at {current:?}")]
    Conflict {
        /// Revision at which the key stands, `None` if it does not exist.
        current: Option<u64>,
    },
    /// The lease does not exist or no longer does; the write had no effect.
    #[display("the lease is gone")]
    LeaseGone,
    /// The value is larger than the store holds; the write had no effect.
    #[display("the value is larger than the store holds")]
    TooLarge,
    /// The call certainly had no effect; it may be repeated.
    #[display("the store did not take the call: {_0}")]
    Refused(#[error(not(source))] String),
    /// The call may have had its effect; read back before anything is concluded.
    #[display("the store's reply is missing: {_0}")]
    Uncertain(#[error(not(source))] String),
}

impl StoreError {
    /// Tells whether the call certainly had no effect.
    pub const fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Uncertain(_))
    }
}

impl From<SendError> for StoreError {
    fn from(e: SendError) -> Self {
        match e {
            SendError::NotSent(reason) => Self::Refused(reason),
            other => Self::Uncertain(other.to_string()),
        }
    }
}
