use std::collections::{HashMap, VecDeque};

use geraniumpost_schema::{Name, RequestId};

use super::expired_keys::ExpiredKeys;
use super::key_status::KeyStatus;

/// Maps each idempotency key to the first attempt with that key, and keeps digests of expired keys.
#[derive(Debug)]
pub(super) struct KeyIndex {
    capacity: usize,
    first_attempts: HashMap<Name, RequestId>,
    insertion_order: VecDeque<(Name, RequestId)>,
    expired: ExpiredKeys,
}

impl KeyIndex {
    pub(super) fn new(capacity: usize, expired_capacity: usize) -> Self {
        let expired = ExpiredKeys::new(expired_capacity);
        Self { capacity, first_attempts: HashMap::new(), insertion_order: VecDeque::new(), expired }
    }

    /// Returns whether `key` has been used, with its first attempt if the key has not expired.
    pub(super) fn status(&self, key: &Name) -> KeyStatus {
        if let Some(&first) = self.first_attempts.get(key) {
            return KeyStatus::First(first);
        }
        if self.expired.contains(key) {
            return KeyStatus::Expired;
        }
        if self.expired.has_dropped() { KeyStatus::PossiblyForgotten } else { KeyStatus::New }
    }

    /// Records `id` as the first attempt with `key`. The oldest keys above the capacity expire,
    /// except those whose attempt still waits or runs according to `is_active`.
    pub(super) fn insert(
        &mut self,
        key: Name,
        id: RequestId,
        is_active: impl Fn(RequestId) -> bool,
    ) {
        self.first_attempts.insert(key.clone(), id);
        self.insertion_order.push_back((key, id));
        for _ in 0..self.insertion_order.len().saturating_sub(self.capacity) {
            let Some((key, id)) = self.insertion_order.pop_front() else { return };
            if is_active(id) {
                self.insertion_order.push_back((key, id));
                continue;
            }
            self.first_attempts.remove(&key);
            self.expired.insert(&key);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.first_attempts.len()
    }
}
