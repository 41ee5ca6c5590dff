use std::collections::BTreeMap;

/// Most versions that are kept apart; of more, only the newest is kept up to date.
const MAX_TRACKED: usize = 64;

/// Versions of the configuration that others have and this process has not, and when it heard of them.
///
/// Time is in milliseconds of any one clock.
///
/// # Example
///
/// ```
/// use geraniumpost::batch::entry::NewerVersions;
/// let mut newer = NewerVersions::default();
/// newer.observed(7, 100);
/// newer.observed(9, 300);
/// assert_eq!(newer.behind_since_ms(), Some(100));
/// newer.adopted(8);
/// assert_eq!(newer.behind_since_ms(), Some(300));
/// newer.adopted(9);
/// assert_eq!(newer.behind_since_ms(), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct NewerVersions {
    active: u64,
    pending: BTreeMap<u64, u64>,
}

impl NewerVersions {
    /// Notes a version that another process has.
    pub fn observed(&mut self, version: u64, now_ms: u64) {
        if version <= self.active || self.newest() >= version {
            return;
        }
        if self.pending.len() >= MAX_TRACKED {
            self.pending.pop_last();
        }
        self.pending.insert(version, now_ms);
    }

    /// Notes the version that is in force in this process.
    pub fn adopted(&mut self, version: u64) {
        self.active = self.active.max(version);
        self.pending = self.pending.split_off(&(self.active + 1));
    }

    /// Returns the newest version that anybody has.
    pub fn newest(&self) -> u64 {
        self.pending.last_key_value().map_or(self.active, |(version, _)| *version)
    }

    /// Returns since when a version is known that is newer than the one in force.
    ///
    /// It is that of the oldest such version: of a series, each version that comes into force takes
    /// its own time.
    pub fn behind_since_ms(&self) -> Option<u64> {
        self.pending.values().min().copied()
    }
}
