use std::collections::HashMap;

use geraniumpost_schema::Name;

use super::commits::DeferredAction;
use crate::{JobRecord, JobState, Now, TaskId, TaskPhase, TaskRecord};

/// How long a persistent task that lost its run waits after the tasks of jobs that end, in
/// milliseconds. Most of these tasks find a minion sooner, and short tasks would otherwise be late
/// each time that minions are replaced; callers tolerate an interruption of 6 s.
const MAX_INTERRUPTION_MS: u64 = 2_000;

/// A job's record, and state that is not persisted.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) record: JobRecord,
    /// Incremented with each change of the record.
    pub(super) version: u64,
    /// Latest version of the record that the store is known to hold; 0 for none.
    pub(super) durable_version: u64,
    /// Whether a write of this record is in flight; a record is in at most one batch at a time.
    pub(super) write_in_flight: bool,
    /// Whether an earlier attempt to write the record may have reached the store although it had no
    /// result.
    pub(super) may_be_stored: bool,
    /// State in the last committed record; before the first commit, the initial state.
    pub(super) committed_state: JobState,
    /// Whether any task has started; callers then see the job as running.
    pub(super) started: bool,
    /// Actions to run once the current version is committed.
    pub(super) after_commit: Vec<DeferredAction>,
    /// Per-task state for the next placement.
    pub(super) next_placements: HashMap<TaskId, NextPlacement>,
    /// Time of the first placement round that found the job without runs, on the monotonic clock;
    /// `None` if the last round found runs.
    pub(super) idle_since_ms: Option<u64>,
    /// Time of the first placement round that found a persistent task of the job waiting although
    /// it ran before, on the monotonic clock; `None` if the last round found no such task.
    pub(super) interrupted_since_ms: Option<u64>,
    /// Estimated duration of the longest chain of steps, in milliseconds.
    pub(super) critical_path_ms: u64,
}

/// State of a task that its next placement takes into account.
#[derive(Debug, Clone, Default)]
pub(super) struct NextPlacement {
    /// Id of the last checkpoint; empty for none.
    pub(super) checkpoint: Name,
    /// Earliest time of the next placement, on the monotonic clock.
    pub(super) not_before_ms: u64,
    /// The minion on which the last run failed or was refused; this minion is chosen last.
    pub(super) avoided_minion: Option<Name>,
    /// Time until which the task is placed only on minions without other suspects, on the monotonic
    /// clock.
    pub(super) alone_until_ms: u64,
    /// Time until which the task is placed only on minions without other tasks that were lost in the
    /// same crash, on the monotonic clock.
    pub(super) apart_until_ms: u64,
    /// Number of the task's last copy; 0 for none. Later runs get higher numbers.
    pub(super) last_copy_run: u32,
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
            may_be_stored: false,
            started: false,
            after_commit: Vec::new(),
            next_placements: HashMap::new(),
            idle_since_ms: None,
            interrupted_since_ms: None,
            critical_path_ms,
        }
    }

    /// Returns a job whose record was read from the store.
    pub(super) fn from_store(record: JobRecord) -> Self {
        let tasks = record.occurrences.iter().flat_map(|o| o.steps.iter().flatten());
        let started = tasks.into_iter().any(|task| task.run > 0);
        Self { durable_version: 1, started, ..Self::new(record) }
    }

    pub(super) fn has_durable_record(&self) -> bool {
        self.durable_version > 0
    }

    /// Returns whether no attempt to write the record can have reached the store.
    pub(super) const fn has_certainly_no_stored_record(&self) -> bool {
        self.durable_version == 0 && !self.may_be_stored && !self.write_in_flight
    }

    /// Returns the state to report to callers.
    pub(super) fn reported_state(&self) -> JobState {
        match self.committed_state {
            JobState::Queued if self.started => JobState::Running,
            state => state,
        }
    }
}

/// Lists the steps with waiting tasks whose predecessors are done, as occurrence and step.
pub(super) fn ready_steps(record: &JobRecord) -> Vec<(u32, u16)> {
    let mut ready = Vec::new();
    for occurrence in &record.occurrences {
        for (number, step) in record.spec.steps.iter().enumerate() {
            let waiting =
                occurrence.steps[number].iter().any(|task| task.phase == TaskPhase::Waiting);
            let is_ready =
                waiting && step.after.iter().all(|&s| occurrence.is_step_done(usize::from(s)));
            if is_ready {
                ready.push((occurrence.number, number as u16));
            }
        }
    }
    ready
}

/// Returns whether a persistent job has been interrupted for [`MAX_INTERRUPTION_MS`].
pub(super) fn is_interrupted_too_long(job: &Job, now: Now) -> bool {
    job.interrupted_since_ms.is_some_and(|since| now.steady_ms >= since + MAX_INTERRUPTION_MS)
}

/// Returns whether a persistent task of a job waits although it ran before.
pub(super) fn is_interrupted(record: &JobRecord) -> bool {
    let steps = record.occurrences.iter().flat_map(|o| o.steps.iter().zip(&record.spec.steps));
    let lost_run = |task: &TaskRecord| task.phase == TaskPhase::Waiting && task.run > 0;
    steps.into_iter().any(|(tasks, spec)| spec.persistent && tasks.iter().any(lost_run))
}
