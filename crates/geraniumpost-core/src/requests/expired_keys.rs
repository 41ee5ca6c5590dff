use std::collections::{HashSet, VecDeque};

use geraniumpost_schema::Name;
use sha2::{Digest as _, Sha256};

/// Digests of idempotency keys that have left the key index, so that a repeat of a request that ran
/// hours ago does not run again.
///
/// A digest takes 64 bytes instead of the several hundred of a recorded key, so ten times as many
/// keys can be remembered.
#[derive(Debug)]
pub(super) struct ExpiredKeys {
    capacity: usize,
    digests: HashSet<u128>,
    insertion_order: VecDeque<u128>,
    has_dropped: bool,
}

impl ExpiredKeys {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            digests: HashSet::new(),
            insertion_order: VecDeque::new(),
            has_dropped: false,
        }
    }

    pub(super) fn insert(&mut self, key: &Name) {
        let digest = digest(key);
        if self.digests.insert(digest) {
            self.insertion_order.push_back(digest);
        }
        while self.insertion_order.len() > self.capacity {
            let Some(oldest) = self.insertion_order.pop_front() else { return };
            self.digests.remove(&oldest);
            self.has_dropped = true;
        }
    }

    pub(super) fn contains(&self, key: &Name) -> bool {
        self.digests.contains(&digest(key))
    }

    /// Whether a digest has been dropped. If so, an unknown key may belong to a request that has
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
