use std::collections::BTreeMap;

/// Most versions that are tracked separately. If there are more, each new version replaces the
/// newest one.
const MAX_TRACKED: usize = 64;

/// Versions of the configuration that are newer than the active one, with the times at which this
/// process learned that another one has them.
///
/// Times are in milliseconds on any one clock.
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
    /// Records at `now_ms` that another process has a version. Versions that are not newer than all
    /// known ones are ignored.
    pub fn observe(&mut self, version: u64, now_ms: u64) {
        if version <= self.active || self.newest_version() >= version {
            return;
        }
        if self.pending.len() >= MAX_TRACKED {
            self.pending.pop_last();
        }
        self.pending.insert(version, now_ms);
    }

    /// Records that a version has become active in this process.
    pub fn adopt(&mut self, version: u64) {
        self.active = self.active.max(version);
        self.pending = self.pending.split_off(&(self.active + 1));
    }

    /// Returns the newest known version: the active one, or a newer one that another process has.
    pub fn newest_version(&self) -> u64 {
        self.pending.last_key_value().map_or(self.active, |(version, _)| *version)
    }

    /// Returns the time since which the active version is known to be outdated, or `None` if it is
    /// the newest known one.
    ///
    /// This is the time at which the first of the newer versions became known. If one of several
    /// newer versions becomes active, the time of the next one counts.
    pub fn behind_since_ms(&self) -> Option<u64> {
        self.pending.values().min().copied()
    }
}
