use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// A complete response of a minion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers, without those that apply only to the connection.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}
