use derive_more::Display;

/// Kinds of calls that the service counts.
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
    /// Tells whether the call changes anything, which the platform serves at a lower rate.
    pub const fn writes(self) -> bool {
        !matches!(self, Self::Get | Self::Watch)
    }
}
