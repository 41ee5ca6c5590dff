use std::collections::{HashMap, VecDeque};

use geraniumpost_schema::{Name, RequestId};

/// Which attempt runs, ran or was barred for an idempotency key.
#[derive(Debug)]
pub(super) struct KeyIndex {
    most: usize,
    first: HashMap<Name, RequestId>,
    order: VecDeque<(Name, RequestId)>,
    forgot: bool,
}

impl KeyIndex {
    pub(super) fn new(most: usize) -> Self {
        Self { most, first: HashMap::new(), order: VecDeque::new(), forgot: false }
    }

    /// Returns the attempt that ran or runs for `key`.
    pub(super) fn get(&self, key: &Name) -> Option<RequestId> {
        self.first.get(key).copied()
    }

    /// Notes that `id` runs for `key`; forgets the oldest key beyond the bound unless `is_active`
    /// says that its attempt still waits or runs.
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
            self.forgot = true;
        }
    }

    /// Whether any key has been forgotten, so that an unknown key may be one that ran.
    pub(super) const fn forgot(&self) -> bool {
        self.forgot
    }

    pub(super) fn len(&self) -> usize {
        self.first.len()
    }
}
