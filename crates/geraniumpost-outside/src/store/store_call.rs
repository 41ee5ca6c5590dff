use std::time::Duration;

use derive_more::Display;

/// A finished call to the store, as passed to an observer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreCall {
    /// `get`, `put`, `delete`, `watch` or `lease`.
    pub operation: &'static str,
    /// Result of the call.
    pub result: CallResult,
    /// Duration of the call.
    pub duration: Duration,
}

/// Result of a call to the store, by which metrics count calls.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum CallResult {
    /// The store carried out the call.
    Ok,
    /// The store rejected a write because its condition did not hold.
    Conflict,
    /// The call certainly had no effect: it was not sent, or the store refused it.
    Refused,
    /// There was no valid response; the call may have taken effect.
    Lost,
}

impl CallResult {
    /// Returns whether the result is one that a healthy store gives.
    pub const fn is_healthy(self) -> bool {
        matches!(self, Self::Ok | Self::Conflict)
    }
}
