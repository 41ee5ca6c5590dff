use bytes::Bytes;

/// A key's value with the revision that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Revision of the write.
    pub revision: u64,
    /// The value.
    pub value: Bytes,
    /// Lease whose end removes the key.
    pub lease: Option<u64>,
}
