use derive_more::Display;

/// Kind of a call to the store.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Reads a key.
    Get,
    /// Writes a key.
    Put,
    /// Removes a key.
    Delete,
    /// Creates a lease.
    Grant,
    /// Renews a lease.
    KeepAlive,
    /// Ends a lease.
    Revoke,
    /// Waits for a change.
    Watch,
}

impl Call {
    /// Returns whether the call changes the data. The platform has a separate rate limit for such
    /// calls.
    pub const fn is_write(self) -> bool {
        !matches!(self, Self::Get | Self::Watch)
    }
}
