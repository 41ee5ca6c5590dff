use std::collections::{HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::digest;

/// Most tombstones of one bucket: 10 thousand take about 210 KB of the value, and are 61 days of
/// 2,600 jobs a day over 16 buckets. See `docs/design/0201-job-records.md`.
const MAX_TOMBSTONES: usize = 10_000;

/// Ids of finished jobs whose records were dropped, oldest first.
///
/// Without them a customer's late repeat of a submission would run the job a second time. Each is a
/// 64-bit digest, because ids in full would fill the value twenty times as fast.
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
    known: HashSet<u64>,
}

impl Tombstones {
    /// Adds a job id, dropping the oldest if the bound is reached.
    pub fn insert(&mut self, job: &str) {
        let digest = digest(job);
        if !self.known.insert(digest) {
            return;
        }
        self.order.push_back(digest);
        if self.order.len() > MAX_TOMBSTONES
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Returns whether the job finished and was dropped.
    pub fn contains(&self, job: &str) -> bool {
        self.known.contains(&digest(job))
    }

    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

impl From<Vec<u64>> for Tombstones {
    fn from(digests: Vec<u64>) -> Self {
        Self { known: digests.iter().copied().collect(), order: digests.into() }
    }
}

impl From<Tombstones> for Vec<u64> {
    fn from(tombstones: Tombstones) -> Self {
        tombstones.order.into()
    }
}
