use std::collections::BTreeMap;

use geraniumpost_schema::Name;
use serde::Deserialize;

use super::{BucketError, Stored, Tombstones};
use crate::jobs::{JobRecord, JobState};

/// Version of the encoding.
const FORMAT: u32 = 1;
/// Largest value in bytes; the store takes a megabyte, and runs of accepted jobs still grow.
const MAX_BYTES: usize = 900_000;
/// Bytes that an unfinished record may still grow by: its result and a checkpoint's name.
const GROWTH_BYTES: usize = 700;
/// Encoded bytes of one tombstone with its comma.
const TOMBSTONE_BYTES: usize = 21;

/// The job records of one store value.
///
/// The head names the planner's term and the number of the commit. They tell a planner whose reply
/// was lost whether its own write, or another planner's, is in the store.
#[derive(Debug, Clone, Default)]
pub struct Bucket {
    term: u64,
    sequence: u64,
    jobs: BTreeMap<Name, Stored>,
    tombstones: Tombstones,
    bytes: usize,
    unfinished: usize,
}

#[derive(Deserialize)]
struct Value {
    format: u32,
    term: u64,
    sequence: u64,
    jobs: Vec<JobRecord>,
    tombstones: Tombstones,
}

impl Bucket {
    /// Reads a store value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is no bucket of this format.
    pub fn decode(value: &[u8]) -> Result<Self, BucketError> {
        let value: Value = serde_json::from_slice(value)?;
        if value.format != FORMAT {
            return Err(BucketError::Format(value.format));
        }
        let mut bucket = Self {
            term: value.term,
            sequence: value.sequence,
            tombstones: value.tombstones,
            ..Self::default()
        };
        for record in value.jobs {
            bucket.put(record);
        }
        Ok(bucket)
    }

    /// Returns the store value under a term and commit number.
    pub fn encode(&mut self, term: u64, sequence: u64) -> Vec<u8> {
        self.term = term;
        self.sequence = sequence;
        let mut text = format!(
            r#"{{"format":{FORMAT},"term":{term},"sequence":{sequence},"tombstones":{},"jobs":["#,
            serde_json::to_string(&self.tombstones).unwrap_or_else(|_| "[]".into()),
        );
        text.reserve(self.bytes);
        for (at, stored) in self.jobs.values().enumerate() {
            if at > 0 {
                text.push(',');
            }
            text.push_str(stored.encoded());
        }
        text.push_str("]}");
        text.into_bytes()
    }

    /// Returns the term of the planner that wrote the value.
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Returns the number of the commit that wrote the value, counted by that planner.
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the record of a job.
    pub fn get(&self, job: &str) -> Option<&JobRecord> {
        self.jobs.get(job).map(Stored::record)
    }

    /// Inserts or replaces a record.
    pub fn put(&mut self, record: JobRecord) {
        let stored = Stored::new(record);
        self.bytes += stored.encoded().len() + 1;
        self.unfinished += usize::from(!stored.record().state().is_final());
        if let Some(old) = self.jobs.insert(stored.record().id().clone(), stored) {
            self.discount(&old);
        }
    }

    fn discount(&mut self, old: &Stored) {
        self.bytes -= old.encoded().len() + 1;
        self.unfinished -= usize::from(!old.record().state().is_final());
    }

    /// Returns all records by id.
    pub fn records(&self) -> impl Iterator<Item = &JobRecord> {
        self.jobs.values().map(Stored::record)
    }

    /// Returns whether the job finished so long ago that its record was dropped.
    pub fn has_tombstone(&self, job: &str) -> bool {
        self.tombstones.contains(job)
    }

    /// Replaces the records that finished before `wall_ms` by tombstones and returns how many.
    pub fn drop_finished_before(&mut self, wall_ms: u64) -> usize {
        let old = |record: &&JobRecord| record.state().is_final() && record.finished_ms() < wall_ms;
        let ids: Vec<Name> = self.records().filter(old).map(|record| record.id().clone()).collect();
        for id in &ids {
            self.bury(id);
        }
        ids.len()
    }

    fn bury(&mut self, job: &Name) {
        if let Some(old) = self.jobs.remove(job) {
            self.discount(&old);
            self.tombstones.insert(job);
        }
    }

    /// Returns the size of the encoded value in bytes, to within its short head.
    pub fn bytes(&self) -> usize {
        self.bytes + self.tombstones.len() * TOMBSTONE_BYTES
    }

    /// Returns whether another `more` bytes of records would bring the value near its bound.
    ///
    /// Submissions stop here and not at the bound itself, because a job already accepted must always
    /// be able to record its checkpoint and result.
    pub fn is_full(&self, more: usize) -> bool {
        let growth = (self.unfinished + 1) * GROWTH_BYTES;
        self.bytes() + more + growth > MAX_BYTES
    }

    /// Returns how many records are in a state.
    pub fn count(&self, state: JobState) -> usize {
        self.records().filter(|record| record.state() == state).count()
    }
}
