use bytes::Bytes;

/// Value of a key, with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Revision of the last write.
    pub revision: u64,
    /// Value.
    pub value: Bytes,
    /// Id of the lease at whose end the key is removed.
    pub lease: Option<u64>,
}
