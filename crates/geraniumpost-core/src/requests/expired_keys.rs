use std::collections::{HashSet, VecDeque};

use geraniumpost_schema::Name;
use sha2::{Digest as _, Sha256};

/// Digests of idempotency keys whose attempts are no longer recorded.
///
/// A digest takes 64 bytes instead of several hundred for a key, so ten times as many keys can be
/// distinguished from keys that were never used. A repeat of a request that ran hours ago must not
/// run again.
#[derive(Debug)]
pub(super) struct ExpiredKeys {
    capacity: usize,
    digests: HashSet<u128>,
    order: VecDeque<u128>,
    has_dropped: bool,
}

impl ExpiredKeys {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, digests: HashSet::new(), order: VecDeque::new(), has_dropped: false }
    }

    pub(super) fn insert(&mut self, key: &Name) {
        let digest = digest(key);
        if self.digests.insert(digest) {
            self.order.push_back(digest);
        }
        while self.order.len() > self.capacity {
            let Some(oldest) = self.order.pop_front() else { return };
            self.digests.remove(&oldest);
            self.has_dropped = true;
        }
    }

    pub(super) fn contains(&self, key: &Name) -> bool {
        self.digests.contains(&digest(key))
    }

    /// Whether a digest has been dropped, so that an unknown key may belong to a request that has
    /// run.
    pub(super) const fn has_dropped(&self) -> bool {
        self.has_dropped
    }
}

fn digest(key: &Name) -> u128 {
    let mut truncated = [0; 16];
    truncated.copy_from_slice(&Sha256::digest(key.as_bytes())[..16]);
    u128::from_le_bytes(truncated)
}
