use std::collections::BTreeMap;

use geraniumpost_batch::TaskId;
use geraniumpost_schema::Name;

/// An incarnation of a minion. After a restart the minion has a new id and no state of earlier
/// incarnations.
#[derive(Debug)]
pub(super) struct Incarnation {
    pub(super) id: Name,
    pub(super) draining: bool,
    /// End of the lease on the minion's runs, on the monotonic clock; 0 without a lease.
    pub(super) lease_until_ms: u64,
    /// Highest run number of each task that was stopped or has ended.
    pub(super) ended_runs: BTreeMap<TaskId, u32>,
}

impl Incarnation {
    pub(super) fn new(name: &str) -> Self {
        Self { id: name.into(), draining: false, lease_until_ms: 0, ended_runs: BTreeMap::new() }
    }

    /// Returns whether `run` or a later run of `task` was stopped or has ended. In that case an
    /// order to start `run` is refused.
    pub(super) fn has_ended(&self, task: TaskId, run: u32) -> bool {
        run <= self.ended_runs.get(&task).copied().unwrap_or(0)
    }
}
