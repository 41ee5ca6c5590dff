use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FullResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers, including those of the connection.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}
