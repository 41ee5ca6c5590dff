use serde::{Deserialize, Serialize};

use super::Call;

/// Numbers of calls to the store, by kind.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Reads of a key.
    pub get: u64,
    /// Writes of a key, including those that failed.
    pub put: u64,
    /// Removals of a key.
    pub delete: u64,
    /// Creations of a lease.
    pub grant: u64,
    /// Renewals of a lease.
    pub keep_alive: u64,
    /// Revocations of a lease.
    pub revoke: u64,
    /// Watches; each wait counts as one.
    pub watch: u64,
    /// Writes and removals whose condition did not hold.
    pub conflicts: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
    /// Writes whose reply was lost by an injected fault.
    pub lost_replies: u64,
    /// Total length of the values written, in bytes.
    pub bytes_written: u64,
}

impl StoreCounts {
    /// Counts one call.
    pub const fn add(&mut self, call: Call) {
        let field = match call {
            Call::Get => &mut self.get,
            Call::Put => &mut self.put,
            Call::Delete => &mut self.delete,
            Call::Grant => &mut self.grant,
            Call::KeepAlive => &mut self.keep_alive,
            Call::Revoke => &mut self.revoke,
            Call::Watch => &mut self.watch,
        };
        *field += 1;
    }

    /// Returns the number of calls of any kind.
    pub const fn total(&self) -> u64 {
        self.writes() + self.get + self.watch
    }

    /// Returns the number of calls that change the data.
    pub const fn writes(&self) -> u64 {
        self.put + self.delete + self.grant + self.keep_alive + self.revoke
    }
}
