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
    pub(super) durable_version: u64,
    /// Whether a write of this record is under way.
    pub(super) write_in_flight: bool,
    /// State that callers are told: the last committed one.
    pub(super) committed_state: JobState,
    /// Whether some task has started.
    pub(super) started: bool,
    /// What waits until the present version is committed.
    pub(super) after_commit: Vec<Deferred>,
    /// What is known of tasks beside the record.
    pub(super) hints: HashMap<TaskId, PlacementHint>,
    /// Since when nothing of it has been at work, on the steady clock.
    pub(super) idle_since_ms: Option<u64>,
    /// Estimated length of the longest chain in milliseconds.
    pub(super) critical_path_ms: u64,
}

/// What helps to place a task again.
#[derive(Debug, Clone, Default)]
pub(super) struct PlacementHint {
    /// Last checkpoint; empty for none.
    pub(super) checkpoint: Name,
    /// Not placed before this time on the steady clock.
    pub(super) not_before_ms: u64,
    /// The minion of its last run that went wrong.
    pub(super) avoided_minion: Option<Name>,
}

impl Job {
    pub(super) fn new(record: JobRecord) -> Self {
        let critical_path_ms = record.spec.critical_path_ms();
        Self {
            committed_state: record.state,
            record,
            version: 1,
            durable_version: 0,
            write_in_flight: false,
            started: false,
            after_commit: Vec::new(),
            hints: HashMap::new(),
            idle_since_ms: None,
            critical_path_ms,
        }
    }

    /// Returns a job whose record came from the store.
    pub(super) fn from_store(record: JobRecord) -> Self {
        let tasks = record.occurrences.iter().flat_map(|o| o.steps.iter().flatten());
        let started = tasks.into_iter().any(|task| task.run > 0);
        Self { durable_version: 1, started, ..Self::new(record) }
    }

    pub(super) fn is_durable(&self) -> bool {
        self.durable_version > 0
    }

    /// Returns the state to tell callers.
    pub(super) fn reported_state(&self) -> JobState {
        match self.committed_state {
            JobState::Queued if self.started => JobState::Running,
            state => state,
        }
    }
}
