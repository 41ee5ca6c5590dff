use std::collections::BTreeMap;

use geraniumpost_batch::TaskId;
use geraniumpost_schema::Name;

/// One life of a minion. A minion that starts again has another id, and knows nothing of its last life.
#[derive(Debug)]
pub(super) struct Incarnation {
    pub(super) id: Name,
    pub(super) draining: bool,
    /// Until when it holds what it runs; 0 if it holds nothing.
    pub(super) hold_ms: u64,
    /// The highest run of each task that was stopped or has ended.
    pub(super) barred: BTreeMap<TaskId, u32>,
}

impl Incarnation {
    pub(super) fn new(name: &str) -> Self {
        Self { id: name.into(), draining: false, hold_ms: 0, barred: BTreeMap::new() }
    }

    /// Returns whether a run was stopped or has ended, so that an order to start it comes too late.
    pub(super) fn is_over(&self, task: TaskId, run: u32) -> bool {
        run <= self.barred.get(&task).copied().unwrap_or(0)
    }
}
