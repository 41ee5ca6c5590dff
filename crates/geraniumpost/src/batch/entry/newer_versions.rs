use std::collections::BTreeMap;

/// Number of versions that are tracked separately. Beyond it, each new version replaces the newest
/// one.
const MAX_TRACKED: usize = 64;

/// Versions of the configuration that other processes have and this one does not, with the times at
/// which it heard of them.
///
/// Times are in milliseconds; all have to be of the same clock.
///
/// # Example
///
/// ```
/// use geraniumpost::batch::entry::NewerVersions;
/// let mut newer = NewerVersions::default();
/// newer.observe(7, 100);
/// newer.observe(9, 300);
/// assert_eq!(newer.behind_since_ms(), Some(100));
/// newer.adopt(8);
/// assert_eq!(newer.behind_since_ms(), Some(300));
/// newer.adopt(9);
/// assert_eq!(newer.behind_since_ms(), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct NewerVersions {
    active: u64,
    pending: BTreeMap<u64, u64>,
}

impl NewerVersions {
    /// Records a version that another process has.
    pub fn observe(&mut self, version: u64, now_ms: u64) {
        if version <= self.active || self.newest_version() >= version {
            return;
        }
        if self.pending.len() >= MAX_TRACKED {
            self.pending.pop_last();
        }
        self.pending.insert(version, now_ms);
    }

    /// Records the version that is active in this process.
    pub fn adopt(&mut self, version: u64) {
        self.active = self.active.max(version);
        self.pending = self.pending.split_off(&(self.active + 1));
    }

    /// Returns the newest version that this process has or has heard of.
    pub fn newest_version(&self) -> u64 {
        self.pending.last_key_value().map_or(self.active, |(version, _)| *version)
    }

    /// Returns since when a version newer than the active one is known, or `None`.
    ///
    /// It is the time of the version that was heard of first among those not active yet. In a
    /// series of versions each is measured separately.
    pub fn behind_since_ms(&self) -> Option<u64> {
        self.pending.values().min().copied()
    }
}
