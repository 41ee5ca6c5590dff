use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// A whole answer as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FullResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}
