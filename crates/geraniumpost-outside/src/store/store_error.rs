use derive_more::{Display, Error};

use crate::http::SendError;

/// Why a call to the store failed.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The condition did not hold; the write had no effect.
    #[display("write conflict: the key has revision {current:?}")]
    Conflict {
        /// Present revision of the key, `None` if the key does not exist.
        current: Option<u64>,
    },
    /// The lease has expired or never existed; the call had no effect.
    #[display("the lease does not exist")]
    LeaseGone,
    /// The value exceeds the limit of the store; the write had no effect.
    #[display("the value exceeds the limit of the store")]
    TooLarge,
    /// The call certainly had no effect; it may be repeated.
    #[display("the store refused or did not receive the call: {_0}")]
    Refused(#[error(not(source))] String),
    /// The call may have taken effect; the caller must read the key to find out.
    #[display("no valid response of the store: {_0}")]
    Uncertain(#[error(not(source))] String),
}

impl StoreError {
    /// Returns whether the call certainly had no effect.
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
