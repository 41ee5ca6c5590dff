use std::time::Duration;

use derive_more::Display;

/// One call of the store as an observer sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreCall {
    /// `get`, `put`, `delete`, `watch` or `lease`.
    pub operation: &'static str,
    /// What became of it.
    pub result: CallResult,
    /// Time until its end.
    pub duration: Duration,
}

/// What became of a call of the store.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum CallResult {
    /// Answered.
    Ok,
    /// Answered that another write came first.
    Conflict,
    /// Certainly without effect: not sent, or answered with a refusal.
    Refused,
    /// May have had its effect.
    Lost,
}

impl CallResult {
    /// Returns whether the store has answered as it does in good health.
    pub const fn is_healthy(self) -> bool {
        matches!(self, Self::Ok | Self::Conflict)
    }
}
