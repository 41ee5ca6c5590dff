use bytes::Bytes;

/// A value with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// Revision of the last write. Revisions increase with each write of any key.
    pub revision: u64,
    /// Value.
    pub value: Bytes,
}
