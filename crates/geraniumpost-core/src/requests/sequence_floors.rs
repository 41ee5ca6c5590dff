use std::collections::HashMap;

use geraniumpost_schema::RequestId;

/// Entry incarnations that are told apart before all are treated as possibly forgotten.
const MOST_ENTRIES: usize = 65_536;

/// Highest forgotten sequence of each entry.
///
/// An entry counts its attempts upwards, so "at most this number" covers all that was forgotten in
/// a few bytes. Without it an agent that forgot an attempt would take it for one that never came,
/// say "never started", and the entry would send a badge print a second time.
#[derive(Debug, Default)]
pub(super) struct SequenceFloors {
    floors: HashMap<u64, u64>,
    overflowed: bool,
}

impl SequenceFloors {
    /// Notes that `id` is no longer on record.
    pub(super) fn forget(&mut self, id: RequestId) {
        let known = self.floors.contains_key(&id.entry);
        if !known && self.floors.len() >= MOST_ENTRIES {
            self.overflowed = true;
            return;
        }
        let floor = self.floors.entry(id.entry).or_default();
        *floor = (*floor).max(id.sequence);
    }

    /// Whether `id` may have been on record once.
    pub(super) fn may_have_known(&self, id: RequestId) -> bool {
        match self.floors.get(&id.entry) {
            Some(&floor) => id.sequence <= floor,
            None => self.overflowed,
        }
    }
}
