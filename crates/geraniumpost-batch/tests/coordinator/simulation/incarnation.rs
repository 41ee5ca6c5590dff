use std::collections::BTreeMap;

use geraniumpost_batch::TaskId;
use geraniumpost_schema::Name;

/// One life of a minion. A minion that starts again has another id, and knows nothing of its last life.
#[derive(Debug)]
pub(super) struct Incarnation {
    pub(super) id: Name,
    pub(super) draining: bool,
    /// Until when it holds what it runs; 0 if it holds nothing.
    pub(super) lease_until_ms: u64,
    /// The highest run of each task that was stopped or has ended.
    pub(super) ended_runs: BTreeMap<TaskId, u32>,
}

impl Incarnation {
    pub(super) fn new(name: &str) -> Self {
        Self { id: name.into(), draining: false, lease_until_ms: 0, ended_runs: BTreeMap::new() }
    }

    /// Returns whether a run was stopped or has ended, so that an order to start it comes too late.
    pub(super) fn has_ended(&self, task: TaskId, run: u32) -> bool {
        run <= self.ended_runs.get(&task).copied().unwrap_or(0)
    }
}
