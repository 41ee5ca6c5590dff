use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// A whole answer as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Exchange {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}
