use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::{JobSpec, JobState, QueueTerms};

/// Version of the record's encoding, increased with each change that older code cannot read.
const LAYOUT: u8 = 1;

/// The stored state of a job, which must survive the loss of every process.
///
/// A placement is written before the start order is sent, and the end of a run before the minion
/// may discard it. A successor therefore knows every run that may exist, whichever processes were
/// lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submitted specification; empty once the record is compacted.
    pub spec: JobSpec,
    /// The settings of its queue at submission.
    pub terms: QueueTerms,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// When it reached a final state, in milliseconds since 1970; 0 before that.
    pub finished_ms: u64,
    /// State as callers see it.
    pub state: JobState,
    /// Number of the next occurrence that has not begun.
    pub next_occurrence: u32,
    /// Occurrences that have begun and not ended.
    pub occurrences: Vec<Occurrence>,
}

/// One execution of a job's steps; a repeated job has several.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Its number, from 0.
    pub number: u32,
    /// When it was due, in milliseconds since 1970.
    pub due_ms: u64,
    /// The tasks, by step.
    pub steps: Vec<Vec<TaskRecord>>,
}

/// The stored state of a task.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of its last run; 0 before the first.
    pub run: u32,
    /// Number of failed runs; for a gang, of runs in which any member failed.
    pub failures: u32,
    /// The last run counted in `failures`.
    pub failed_run: u32,
    /// Progress of the last run.
    pub phase: TaskPhase,
}

/// Progress of a task.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum TaskPhase {
    /// No run exists; the task waits for a placement.
    #[default]
    Waiting,
    /// The last run may exist on this minion.
    Placed(Place),
    /// A run has completed.
    Done,
}

/// A minion and the agent beside it.
///
/// The agent's name is stored because it outlives the incarnation: once another incarnation runs
/// beside the agent, no run of the earlier one exists.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The minion's incarnation.
    pub minion: Name,
    /// The agent's name.
    pub agent: Name,
}

impl JobRecord {
    /// Returns the record of a job of which no occurrence has begun.
    pub const fn new(spec: JobSpec, terms: QueueTerms, accepted_ms: u64) -> Self {
        Self {
            spec,
            terms,
            accepted_ms,
            finished_ms: 0,
            state: JobState::Queued,
            next_occurrence: 0,
            occurrences: Vec::new(),
        }
    }

    /// Returns the total number of occurrences.
    pub fn repetitions(&self) -> u32 {
        self.spec.repeat.max(1)
    }

    /// Returns when the next occurrence is due in milliseconds since 1970, or `None` if all have
    /// begun.
    pub fn next_due_ms(&self) -> Option<u64> {
        if self.next_occurrence >= self.repetitions() {
            return None;
        }
        let later = u64::from(self.next_occurrence) * self.spec.interval_ms;
        Some(if self.spec.repeat == 0 { self.accepted_ms } else { self.spec.first_due_ms + later })
    }

    /// Begins the next occurrence.
    pub fn begin_occurrence(&mut self, due_ms: u64) {
        let tasks = |step: &crate::StepSpec| vec![TaskRecord::default(); step.count as usize];
        let steps = self.spec.steps.iter().map(tasks).collect();
        let number = self.next_occurrence;
        self.occurrences.push(Occurrence { number, due_ms, steps });
        self.next_occurrence += 1;
    }

    /// Drops the specification and the tasks, which a job in a final state no longer needs.
    pub fn compact(&mut self) {
        self.spec = JobSpec { payload: "".into(), ..JobSpec::default() };
        self.occurrences.clear();
        self.next_occurrence = 1;
    }

    /// Encodes the record for the store.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![LAYOUT];
        let body = postcard::to_stdvec(self).expect("every field of a record can be encoded");
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Decodes a record from the store.
    ///
    /// # Errors
    ///
    /// Fails if the bytes have another layout version or are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        match bytes.split_first() {
            Some((&LAYOUT, body)) => postcard::from_bytes(body),
            _ => Err(postcard::Error::DeserializeBadEncoding),
        }
    }
}

impl Occurrence {
    /// Returns whether all tasks of a step are done.
    pub fn is_step_done(&self, step: usize) -> bool {
        self.steps[step].iter().all(|task| task.phase == TaskPhase::Done)
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        (0..self.steps.len()).all(|step| self.is_step_done(step))
    }
}
