use std::collections::{HashSet, VecDeque};

use geraniumpost_schema::Name;
use sha2::{Digest as _, Sha256};

/// Digests of idempotency keys whose attempts are no longer on record.
///
/// A key takes 64 bytes here instead of several hundred, so ten times as many are told from keys
/// that never came. A repeat of a key that ran hours ago must not run again.
#[derive(Debug)]
pub(super) struct FadedKeys {
    most: usize,
    known: HashSet<u128>,
    order: VecDeque<u128>,
    forgot: bool,
}

impl FadedKeys {
    pub(super) fn new(most: usize) -> Self {
        Self { most, known: HashSet::new(), order: VecDeque::new(), forgot: false }
    }

    pub(super) fn insert(&mut self, key: &Name) {
        let digest = digest(key);
        if self.known.insert(digest) {
            self.order.push_back(digest);
        }
        while self.order.len() > self.most {
            let Some(oldest) = self.order.pop_front() else { return };
            self.known.remove(&oldest);
            self.forgot = true;
        }
    }

    pub(super) fn contains(&self, key: &Name) -> bool {
        self.known.contains(&digest(key))
    }

    /// Whether any key has been forgotten altogether, so that an unknown key may be one that ran.
    pub(super) const fn forgot(&self) -> bool {
        self.forgot
    }
}

fn digest(key: &Name) -> u128 {
    let mut first = [0; 16];
    first.copy_from_slice(&Sha256::digest(key.as_bytes())[..16]);
    u128::from_le_bytes(first)
}
