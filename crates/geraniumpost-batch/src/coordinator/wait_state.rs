use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_schema::Name;

use super::step_key::StepKey;
use crate::TaskId;

/// State of waiting tasks between two checks, for log lines and metrics.
#[derive(Debug)]
pub(super) struct WaitState {
    /// Time at which this coordinator started, on the monotonic clock.
    pub(super) started_ms: u64,
    /// Time at which waiting tasks were last checked, on the monotonic clock; `None` before the
    /// first check.
    pub(super) last_check_ms: Option<u64>,
    /// Steps with waiting tasks, if the steps that they depend on are done.
    pub(super) steps: BTreeMap<StepKey, WaitingStep>,
    /// Start of the current downtime of each persistent task that is down, on the monotonic clock.
    /// A task is down if it has no started run or the run's minion is unreachable.
    pub(super) down_since_ms: BTreeMap<TaskId, u64>,
    /// Unreachable minions with runs that were logged, and are not logged again while they stay
    /// unreachable.
    pub(super) logged_unreachable: BTreeSet<Name>,
    /// Number of lines logged on the wait for a predecessor's leases; index of the next delay in
    /// `PREDECESSOR_WAIT_LOG_DELAYS_MS`.
    pub(super) predecessor_wait_lines: usize,
}

/// How long a step has waited, and when that was last logged.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingStep {
    /// Whether the tasks of the step run until the job is cancelled.
    pub(super) persistent: bool,
    /// Index of the first waiting task.
    pub(super) first_index: u32,
    /// Start of the wait of the first waiting task, on the monotonic clock; for a persistent step
    /// the earliest start of a downtime of any waiting task.
    pub(super) since_ms: u64,
    /// Time at which the step was last logged, on the monotonic clock; `None` if never.
    pub(super) last_logged_ms: Option<u64>,
}

impl WaitState {
    pub(super) const fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            last_check_ms: None,
            steps: BTreeMap::new(),
            down_since_ms: BTreeMap::new(),
            logged_unreachable: BTreeSet::new(),
            predecessor_wait_lines: 0,
        }
    }
}
