use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_schema::Name;

use crate::{JobId, TaskId};

/// A step of one occurrence: job, occurrence and step.
pub(super) type StepKey = (JobId, u32, u16);

/// State of waiting tasks between two checks, for log lines and metrics.
#[derive(Debug)]
pub(super) struct WaitState {
    /// When this coordinator started, on the steady clock.
    pub(super) started_ms: u64,
    /// When waiting tasks were last checked, on the steady clock; `None` before the first check.
    pub(super) last_check_ms: Option<u64>,
    /// Steps with waiting tasks whose predecessors are done.
    pub(super) steps: BTreeMap<StepKey, WaitingStep>,
    /// Since when each persistent task that is down has been down, on the steady clock.
    pub(super) down: BTreeMap<TaskId, u64>,
    /// Minions that were logged as unreachable.
    pub(super) logged_unreachable: BTreeSet<Name>,
    /// Number of lines logged on the wait for a predecessor's leases.
    pub(super) predecessor_wait_lines: usize,
}

/// A step with waiting tasks.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingStep {
    /// Whether its tasks run until the job is cancelled.
    pub(super) persistent: bool,
    /// Index of the first waiting task.
    pub(super) first_index: u32,
    /// Since when that task has been waiting, on the steady clock.
    pub(super) since_ms: u64,
    /// When the step was last logged, on the steady clock; `None` if never.
    pub(super) last_logged_ms: Option<u64>,
}

impl WaitState {
    pub(super) const fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            last_check_ms: None,
            steps: BTreeMap::new(),
            down: BTreeMap::new(),
            logged_unreachable: BTreeSet::new(),
            predecessor_wait_lines: 0,
        }
    }
}
