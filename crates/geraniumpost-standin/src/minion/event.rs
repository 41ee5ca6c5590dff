use serde::{Deserialize, Serialize};

/// Kind of an event of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MinionEventKind {
    /// A run started.
    Started,
    /// The run ended.
    Ended,
    /// The run started while all slots were occupied.
    OverSlots,
}

/// An event in the record of a minion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionEvent {
    /// Time of the event, see [`now_us`](crate::now_us).
    pub at_us: u64,
    /// Name of the minion.
    pub minion: String,
    /// Number of the run on this minion.
    pub run: u64,
    /// Kind of the event.
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
