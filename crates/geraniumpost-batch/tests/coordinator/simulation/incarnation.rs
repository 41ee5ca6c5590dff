use std::collections::BTreeMap;

use geraniumpost_batch::TaskId;
use geraniumpost_schema::Name;

/// An incarnation of a minion. A minion that restarts has another id and no state of its last one.
#[derive(Debug)]
pub(super) struct Incarnation {
    pub(super) id: Name,
    pub(super) draining: bool,
    /// When the lease on its runs ends; 0 if it holds none.
    pub(super) lease_until_ms: u64,
    /// The highest run of each task that was stopped or has ended.
    pub(super) ended_runs: BTreeMap<TaskId, u32>,
}

impl Incarnation {
    pub(super) fn new(name: &str) -> Self {
        Self { id: name.into(), draining: false, lease_until_ms: 0, ended_runs: BTreeMap::new() }
    }

    /// Returns whether a run was stopped or has ended, so that an order to start it is refused.
    pub(super) fn has_ended(&self, task: TaskId, run: u32) -> bool {
        run <= self.ended_runs.get(&task).copied().unwrap_or(0)
    }
}
