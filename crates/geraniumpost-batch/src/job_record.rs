use std::collections::BTreeMap;

use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::{JobSpec, JobState, QueueTerms, TaskCrashes, TaskId};

/// Version of the record's encoding, increased with each change that older code cannot read.
const ENCODING_VERSION: u8 = 1;

/// The stored state of a job, which must survive the loss of every process.
///
/// A placement is written before the start order is sent, and the end of a run before the minion
/// may discard it. A successor therefore knows every run that may exist, regardless of which
/// processes were lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submitted specification; empty once the record is compacted.
    pub spec: JobSpec,
    /// Settings of the job's queue at submission.
    pub terms: QueueTerms,
    /// Time at which the coordinator accepted the job, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Time at which the job reached a final state, in milliseconds since 1970; 0 before that.
    pub finished_ms: u64,
    /// State of the job; callers see a queued job as running once a task has started.
    pub state: JobState,
    /// Number of the first occurrence that has not begun.
    pub next_occurrence: u32,
    /// Occurrences that have begun and not ended.
    pub occurrences: Vec<Occurrence>,
    /// Tasks under which minions have crashed and that are not cleared; a gang is listed under its
    /// first task. Encoded after the other fields, where earlier versions ignore it.
    #[serde(skip)]
    pub crashes: BTreeMap<TaskId, TaskCrashes>,
}

/// One execution of a job's steps; a repeated job has several.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Number of the occurrence within its job, from 0.
    pub number: u32,
    /// Time at which the occurrence was due, in milliseconds since 1970.
    pub due_ms: u64,
    /// Records of the tasks, by number of the step and index of the task.
    pub steps: Vec<Vec<TaskRecord>>,
}

/// The stored state of a task.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the task's last run; 0 before the first.
    pub run: u32,
    /// Number of failed runs; for a gang, of runs in which any member failed.
    pub failures: u32,
    /// The last run counted in `failures`.
    pub failed_run: u32,
    /// Whether the task waits, may have a run, or is done.
    pub phase: TaskPhase,
}

/// Phase of a task. A successor reads from it whether a run may exist.
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

/// A minion and the agent on the same VM.
///
/// The agent's name is stored because it outlasts the minion's incarnation: once the agent reports
/// another incarnation, no run of the earlier incarnation exists.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Name of the minion's incarnation.
    pub minion: Name,
    /// Name of the agent, through which orders reach the minion.
    pub agent: Name,
}

impl JobRecord {
    /// Returns the record of a queued job without occurrences.
    pub const fn new(spec: JobSpec, terms: QueueTerms, accepted_ms: u64) -> Self {
        Self {
            spec,
            terms,
            accepted_ms,
            finished_ms: 0,
            state: JobState::Queued,
            next_occurrence: 0,
            occurrences: Vec::new(),
            crashes: BTreeMap::new(),
        }
    }

    /// Returns how often the job's steps are executed in total, at least 1.
    pub fn occurrence_count(&self) -> u32 {
        self.spec.repeat.max(1)
    }

    /// Returns when the next occurrence is due in milliseconds since 1970, or `None` if all have
    /// begun.
    pub fn next_due_ms(&self) -> Option<u64> {
        if self.next_occurrence >= self.occurrence_count() {
            return None;
        }
        let later = u64::from(self.next_occurrence) * self.spec.interval_ms;
        Some(if self.spec.repeat == 0 { self.accepted_ms } else { self.spec.first_due_ms + later })
    }

    /// Appends the next occurrence; all its tasks wait for a placement.
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
        self.crashes.clear();
        self.next_occurrence = 1;
    }

    /// Encodes the record for the store, preceded by the version of the encoding, and followed by
    /// the tasks' crashes if there are any.
    ///
    /// Versions that know no crashes ignore what follows the record, and drop it when they
    /// write the record again; crashes are then counted from 0.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![ENCODING_VERSION];
        let body = postcard::to_stdvec(self).expect("every field of a record can be encoded");
        bytes.extend_from_slice(&body);
        if !self.crashes.is_empty() {
            let crashes = postcard::to_stdvec(&self.crashes);
            bytes.extend(crashes.expect("numbers can be encoded"));
        }
        bytes
    }

    /// Decodes a record from the store. Crashes that are malformed are ignored, because a job
    /// must not be lost for them.
    ///
    /// # Errors
    ///
    /// Fails if the bytes have another version or are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        match bytes.split_first() {
            Some((&ENCODING_VERSION, body)) => {
                let (mut record, rest) = postcard::take_from_bytes::<Self>(body)?;
                record.crashes = postcard::from_bytes(rest).unwrap_or_default();
                Ok(record)
            }
            _ => Err(postcard::Error::DeserializeBadEncoding),
        }
    }
}

impl Occurrence {
    /// Returns whether all tasks of the step with this number are done.
    pub fn is_step_done(&self, step: usize) -> bool {
        self.steps[step].iter().all(|task| task.phase == TaskPhase::Done)
    }

    /// Returns whether all tasks of all steps are done.
    pub fn is_done(&self) -> bool {
        (0..self.steps.len()).all(|step| self.is_step_done(step))
    }
}
