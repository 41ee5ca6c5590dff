use serde::{Deserialize, Serialize};

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MinionEventKind {
    /// It began to run.
    Started,
    /// It finished.
    Ended,
    /// It began to run while all slots were taken.
    OverSlots,
}

/// One line of the minion's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionEvent {
    /// When it happened, see [`now_us`](crate::now_us).
    pub at_us: u64,
    /// Name of the minion.
    pub minion: String,
    /// Number of the run on this minion.
    pub run: u64,
    /// What happened.
    pub kind: MinionEventKind,
    /// `X-Request-Id` of the request, empty if it had none.
    pub request_id: String,
    /// `Idempotency-Key` of the request, empty if it had none.
    pub key: String,
    /// Method and path of the request.
    pub target: String,
    /// Digest of the request's body.
    pub body_digest: String,
}
