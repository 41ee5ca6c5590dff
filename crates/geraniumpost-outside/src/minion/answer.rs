use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// A minion's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers without those that concern only the connection.
    pub headers: HeaderMap,
    /// Its body, as long as the minion said.
    pub body: Bytes,
}
