use std::collections::BTreeMap;

/// Maximum number of versions that are tracked separately. Beyond this number, each new version
/// replaces the newest tracked one.
const MAX_TRACKED_VERSIONS: usize = 64;

/// Versions of the configuration that are newer than the active one, with the times at which
/// another process first reported them.
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
    /// Times at which newer versions were first reported, by version.
    pending: BTreeMap<u64, u64>,
}

impl NewerVersions {
    /// Records at `now_ms` that another process has a version. Only a version that is newer than
    /// all known ones is recorded.
    pub fn observe(&mut self, version: u64, now_ms: u64) {
        if version <= self.active || self.newest_version() >= version {
            return;
        }
        if self.pending.len() >= MAX_TRACKED_VERSIONS {
            self.pending.pop_last();
        }
        self.pending.insert(version, now_ms);
    }

    /// Records that a version has become active in this process, and removes it and all older ones.
    pub fn adopt(&mut self, version: u64) {
        self.active = self.active.max(version);
        self.pending = self.pending.split_off(&(self.active + 1));
    }

    /// Returns the newest version that this process or, as far as known, another process has.
    pub fn newest_version(&self) -> u64 {
        self.pending.last_key_value().map_or(self.active, |(version, _)| *version)
    }

    /// Returns the time since which the active version is known to be outdated, or `None` if no
    /// newer version is known.
    ///
    /// This is the time at which the first of the newer versions became known. When one of several
    /// newer versions becomes active, only the times of the versions that are still newer count.
    pub fn behind_since_ms(&self) -> Option<u64> {
        self.pending.values().min().copied()
    }
}
