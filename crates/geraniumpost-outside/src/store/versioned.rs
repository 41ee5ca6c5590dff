use bytes::Bytes;

/// A value with the revision that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// Revision of the write; it grows over all keys together.
    pub revision: u64,
    /// The value.
    pub value: Bytes,
}
