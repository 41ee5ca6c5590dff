use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_schema::Name;

use crate::{JobId, TaskId};

/// A step of one occurrence.
pub(super) type StepKey = (JobId, u32, u16);

/// What is remembered of waiting tasks between two looks at them, to tell operators of it.
#[derive(Debug)]
pub(super) struct WaitState {
    /// When this coordinator began, on the steady clock.
    pub(super) started_ms: u64,
    /// When waiting tasks were last looked at, on the steady clock; `None` before the first look.
    pub(super) last_check_ms: Option<u64>,
    /// Steps with waiting tasks whose earlier steps are done.
    pub(super) steps: BTreeMap<StepKey, WaitingStep>,
    /// Since when each standing task that is down has been down, on the steady clock.
    pub(super) down: BTreeMap<TaskId, u64>,
    /// Minions whose loss a line has told.
    pub(super) logged_unreachable: BTreeSet<Name>,
    /// Lines that told of the wait inherited from a predecessor.
    pub(super) predecessor_wait_lines: usize,
}

/// A step with waiting tasks.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingStep {
    /// Whether its tasks run until the job is cancelled.
    pub(super) standing: bool,
    /// The first task that waits.
    pub(super) first: u32,
    /// Since when it waits, on the steady clock.
    pub(super) since_ms: u64,
    /// When a line last told of it, on the steady clock; `None` if none did.
    pub(super) told_ms: Option<u64>,
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
