use std::collections::{HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::id_digest;

/// Maximum number of tombstones per bucket. 10 thousand take about 210 KB of the value and cover 61
/// days at 2,600 jobs a day over 16 buckets. See `docs/design/0201-job-records.md`.
const MAX_TOMBSTONES: usize = 10_000;

/// Digests of the ids of finished jobs whose records were dropped, oldest first.
///
/// Without tombstones, a submission repeated late by a customer would run the job a second time.
/// 64-bit digests are stored because full ids would fill the value twenty times as fast.
///
/// ```
/// # use geraniumpost_core::jobs::Tombstones;
/// let mut tombstones = Tombstones::default();
/// tombstones.insert("study-7");
/// assert!(tombstones.contains("study-7"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<u64>", into = "Vec<u64>")]
pub struct Tombstones {
    order: VecDeque<u64>,
    digests: HashSet<u64>,
}

impl Tombstones {
    /// Adds a job id, dropping the oldest tombstone if the maximum is reached.
    pub fn insert(&mut self, job: &str) {
        let digest = id_digest(job);
        if !self.digests.insert(digest) {
            return;
        }
        self.order.push_back(digest);
        if self.order.len() > MAX_TOMBSTONES
            && let Some(oldest) = self.order.pop_front()
        {
            self.digests.remove(&oldest);
        }
    }

    /// Returns whether the job has a tombstone. Ids with equal digests are not distinguished.
    pub fn contains(&self, job: &str) -> bool {
        self.digests.contains(&id_digest(job))
    }

    /// Returns the number of tombstones, which [`Self::insert`] limits to 10,000.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether there are no tombstones, as in a new bucket.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

impl From<Vec<u64>> for Tombstones {
    fn from(digests: Vec<u64>) -> Self {
        Self { digests: digests.iter().copied().collect(), order: digests.into() }
    }
}

impl From<Tombstones> for Vec<u64> {
    fn from(tombstones: Tombstones) -> Self {
        tombstones.order.into()
    }
}
