use std::collections::HashMap;

use geraniumpost_schema::Name;

use super::commits::Deferred;
use crate::{JobRecord, JobState, TaskId};

/// A job with what need not outlive the process.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) record: JobRecord,
    /// Counts the changes of the record.
    pub(super) version: u64,
    /// Version of the record that the store is known to hold.
    pub(super) durable: u64,
    /// Whether a write of this record is under way.
    pub(super) writing: bool,
    /// State that callers are told: the last committed one.
    pub(super) shown: JobState,
    /// Whether some task has started.
    pub(super) begun: bool,
    /// What waits until the present version is committed.
    pub(super) after_commit: Vec<Deferred>,
    /// What is known of tasks beside the record.
    pub(super) hints: HashMap<TaskId, Hint>,
    /// Since when nothing of it has been at work, on the steady clock.
    pub(super) idle_ms: Option<u64>,
    /// Estimated length of the longest chain in milliseconds.
    pub(super) critical_path_ms: u64,
}

/// What helps to place a task again.
#[derive(Debug, Clone, Default)]
pub(super) struct Hint {
    /// Last checkpoint; empty for none.
    pub(super) checkpoint: Name,
    /// Not placed before this time on the steady clock.
    pub(super) not_before_ms: u64,
    /// The minion of its last run that went wrong.
    pub(super) avoid: Option<Name>,
}

impl Job {
    pub(super) fn new(record: JobRecord) -> Self {
        let critical_path_ms = record.spec.critical_path_ms();
        Self {
            shown: record.state,
            record,
            version: 1,
            durable: 0,
            writing: false,
            begun: false,
            after_commit: Vec::new(),
            hints: HashMap::new(),
            idle_ms: None,
            critical_path_ms,
        }
    }

    /// Returns a job whose record came from the store.
    pub(super) fn loaded(record: JobRecord) -> Self {
        let ran = record.occurrences.iter().flat_map(|o| o.steps.iter().flatten());
        let begun = ran.into_iter().any(|task| task.run > 0);
        Self { durable: 1, begun, ..Self::new(record) }
    }

    pub(super) fn is_durable(&self) -> bool {
        self.durable > 0
    }

    /// Returns the state to tell callers.
    pub(super) fn state(&self) -> JobState {
        match self.shown {
            JobState::Queued if self.begun => JobState::Running,
            state => state,
        }
    }
}
