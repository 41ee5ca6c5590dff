use serde::{Deserialize, Serialize};

use super::Call;

/// Calls that the service has taken, by kind.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Reads of a key.
    pub get: u64,
    /// Writes of a key, whether they won or lost.
    pub put: u64,
    /// Removals of a key.
    pub delete: u64,
    /// Leases created.
    pub grant: u64,
    /// Leases renewed.
    pub keep_alive: u64,
    /// Leases ended by their holder.
    pub revoke: u64,
    /// Watches, each wait as one.
    pub watch: u64,
    /// Writes that lost against another one.
    pub conflicts: u64,
    /// Calls refused because their rate was over the limit.
    pub limited: u64,
    /// Replies withheld after the write had taken effect.
    pub lost_replies: u64,
    /// Bytes of values written.
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

    /// Returns the number of calls that change something.
    pub const fn writes(&self) -> u64 {
        self.put + self.delete + self.grant + self.keep_alive + self.revoke
    }
}
