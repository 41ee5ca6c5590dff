use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::{JobSpec, JobState, QueueTerms};

/// Layout of a record in the store; raised with each change that older code cannot read.
const LAYOUT: u8 = 1;

/// A job as it lies in the store: all that must survive the loss of every process.
///
/// A placement is written before its start order leaves, and the end of a run before the minion is
/// allowed to forget it. So a successor knows of each run that may exist, whatever was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What was submitted.
    pub spec: JobSpec,
    /// How its queue wants it treated.
    pub terms: QueueTerms,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// When it reached a final state, in milliseconds since 1970; 0 before that.
    pub finished_ms: u64,
    /// Its state.
    pub state: JobState,
    /// The next repetition that has not begun.
    pub next_occurrence: u32,
    /// Repetitions under way.
    pub occurrences: Vec<Occurrence>,
}

/// One repetition of a job's steps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Its number, from 0.
    pub number: u32,
    /// When it was due, in milliseconds since 1970.
    pub due_ms: u64,
    /// The tasks of each step.
    pub steps: Vec<Vec<TaskRecord>>,
}

/// What must last of one task.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of its last run; 0 before the first.
    pub run: u32,
    /// Runs that ended as failed; of a gang, runs in which any member did.
    pub failures: u32,
    /// The last run that is counted there.
    pub failed_run: u32,
    /// Where it stands.
    pub phase: TaskPhase,
}

/// Where a task stands.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum TaskPhase {
    /// No run exists.
    #[default]
    Waiting,
    /// The last run may exist at this place.
    Placed(Place),
    /// A run has ended as done.
    Done,
}

/// A minion, and the agent beside it.
///
/// The agent's name is kept because it outlives a minion's incarnation: once an agent has another
/// incarnation beside it, nothing of the earlier one runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The minion's incarnation.
    pub minion: Name,
    /// The agent's name.
    pub agent: Name,
}

impl JobRecord {
    /// Returns a new record without tasks.
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

    /// Returns how often the steps run in all.
    pub fn repetitions(&self) -> u32 {
        self.spec.repeat.max(1)
    }

    /// Returns when the next repetition is due, or `None` if all have begun.
    pub fn next_due_ms(&self) -> Option<u64> {
        if self.next_occurrence >= self.repetitions() {
            return None;
        }
        let later = u64::from(self.next_occurrence) * self.spec.interval_ms;
        Some(if self.spec.repeat == 0 { self.accepted_ms } else { self.spec.first_due_ms + later })
    }

    /// Begins the next repetition.
    pub fn begin_occurrence(&mut self, due_ms: u64) {
        let tasks = |step: &crate::StepSpec| vec![TaskRecord::default(); step.count as usize];
        let steps = self.spec.steps.iter().map(tasks).collect();
        let number = self.next_occurrence;
        self.occurrences.push(Occurrence { number, due_ms, steps });
        self.next_occurrence += 1;
    }

    /// Drops what a job in a final state does not need any more.
    pub fn compact(&mut self) {
        self.spec = JobSpec { payload: "".into(), ..JobSpec::default() };
        self.occurrences.clear();
        self.next_occurrence = 1;
    }

    /// Returns the record's bytes for the store.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![LAYOUT];
        let body = postcard::to_stdvec(self).expect("a record has no unsized parts");
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Reads a record from the store's bytes.
    ///
    /// # Errors
    ///
    /// Fails on bytes that this version did not write.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        match bytes.split_first() {
            Some((&LAYOUT, body)) => postcard::from_bytes(body),
            _ => Err(postcard::Error::DeserializeBadEncoding),
        }
    }
}

impl Occurrence {
    /// Returns whether all tasks of a step are done.
    pub fn step_done(&self, step: usize) -> bool {
        self.steps[step].iter().all(|task| task.phase == TaskPhase::Done)
    }

    /// Returns whether all tasks are done.
    pub fn done(&self) -> bool {
        (0..self.steps.len()).all(|step| self.step_done(step))
    }
}
