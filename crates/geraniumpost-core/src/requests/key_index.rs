use std::collections::{HashMap, VecDeque};

use geraniumpost_schema::{Name, RequestId};

use super::faded_keys::FadedKeys;
use super::key_standing::KeyStanding;

/// Which attempt runs, ran or was barred for an idempotency key.
#[derive(Debug)]
pub(super) struct KeyIndex {
    most: usize,
    first: HashMap<Name, RequestId>,
    order: VecDeque<(Name, RequestId)>,
    faded: FadedKeys,
}

impl KeyIndex {
    pub(super) fn new(most: usize, most_faded: usize) -> Self {
        let faded = FadedKeys::new(most_faded);
        Self { most, first: HashMap::new(), order: VecDeque::new(), faded }
    }

    /// Returns what is known of `key`.
    pub(super) fn standing(&self, key: &Name) -> KeyStanding {
        if let Some(&first) = self.first.get(key) {
            return KeyStanding::First(first);
        }
        if self.faded.contains(key) {
            return KeyStanding::Faded;
        }
        if self.faded.forgot() { KeyStanding::Forgotten } else { KeyStanding::New }
    }

    /// Notes that `id` runs for `key`; the oldest key beyond the bound fades unless `is_active` says
    /// that its attempt still waits or runs.
    pub(super) fn insert(
        &mut self,
        key: Name,
        id: RequestId,
        is_active: impl Fn(RequestId) -> bool,
    ) {
        self.first.insert(key.clone(), id);
        self.order.push_back((key, id));
        for _ in 0..self.order.len().saturating_sub(self.most) {
            let Some((key, id)) = self.order.pop_front() else { return };
            if is_active(id) {
                self.order.push_back((key, id));
                continue;
            }
            self.first.remove(&key);
            self.faded.insert(&key);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.first.len()
    }
}
