use std::collections::HashMap;

use geraniumpost_schema::RequestId;

/// Maximum number of entry incarnations in [`SequenceFloors`]. Once attempts of more incarnations
/// are dropped, any attempt of an untracked incarnation counts as possibly dropped.
const MAX_TRACKED_ENTRY_INCARNATIONS: usize = 65_536;

/// Highest sequence number of the dropped attempts of each entry.
///
/// An entry numbers its attempts in ascending order, so one number per entry covers all dropped
/// attempts in a few bytes. Without this number, an agent would mistake a dropped attempt for one
/// that never arrived and reply "never started", and a request that must run once, such as a badge
/// print, would run a second time.
#[derive(Debug, Default)]
pub(super) struct SequenceFloors {
    floors: HashMap<u64, u64>,
    overflowed: bool,
}

impl SequenceFloors {
    /// Records that `id` was dropped from the ledger.
    pub(super) fn record_dropped(&mut self, id: RequestId) {
        let is_tracked = self.floors.contains_key(&id.entry);
        if !is_tracked && self.floors.len() >= MAX_TRACKED_ENTRY_INCARNATIONS {
            self.overflowed = true;
            return;
        }
        let floor = self.floors.entry(id.entry).or_default();
        *floor = (*floor).max(id.sequence);
    }

    /// Whether the attempt `id` may have been recorded and dropped.
    pub(super) fn may_have_been_dropped(&self, id: RequestId) -> bool {
        match self.floors.get(&id.entry) {
            Some(&floor) => id.sequence <= floor,
            None => self.overflowed,
        }
    }
}
