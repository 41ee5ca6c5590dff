use std::collections::BTreeMap;

use geraniumpost_schema::Name;
use serde::Deserialize;

use super::{BucketError, StoredRecord, Tombstones};
use crate::jobs::{JobRecord, JobState};

/// Version of the stored encoding.
const FORMAT_VERSION: u32 = 1;
/// Size in bytes, including expected growth, up to which submissions are accepted. The store
/// accepts one megabyte, and the records of accepted jobs still grow.
const MAX_VALUE_BYTES: usize = 900_000;
/// Bytes by which an unfinished record may still grow: its result and the name of a checkpoint.
const MAX_GROWTH_BYTES: usize = 700;
/// Encoded size of a tombstone with its comma.
const TOMBSTONE_BYTES: usize = 21;

/// The job records in one store value.
///
/// The header contains the planner's term and the sequence number of the commit. A planner that
/// lost the response to a commit compares them to determine whether it wrote the stored value or
/// another planner did.
#[derive(Debug, Clone, Default)]
pub struct Bucket {
    term: u64,
    sequence: u64,
    jobs: BTreeMap<Name, StoredRecord>,
    tombstones: Tombstones,
    bytes: usize,
    unfinished: usize,
}

#[derive(Deserialize)]
struct BucketValue {
    format: u32,
    term: u64,
    sequence: u64,
    jobs: Vec<JobRecord>,
    tombstones: Tombstones,
}

impl Bucket {
    /// Decodes a store value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a bucket of the supported format.
    pub fn decode(value: &[u8]) -> Result<Self, BucketError> {
        let value: BucketValue = serde_json::from_slice(value)?;
        if value.format != FORMAT_VERSION {
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

    /// Encodes the bucket under a term and a commit sequence number.
    pub fn encode(&mut self, term: u64, sequence: u64) -> Vec<u8> {
        self.term = term;
        self.sequence = sequence;
        let mut text = format!(
            r#"{{"format":{FORMAT_VERSION},"term":{term},"sequence":{sequence},"tombstones":{},"jobs":["#,
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

    /// Returns the term of the planner that wrote the value, 0 for a new bucket.
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Returns the sequence number of the commit that wrote the value, counted by that planner.
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the record of a job, if it is in this bucket.
    pub fn get(&self, job: &str) -> Option<&JobRecord> {
        self.jobs.get(job).map(StoredRecord::record)
    }

    /// Inserts a record, or replaces the record with the same job id.
    pub fn put(&mut self, record: JobRecord) {
        let stored = StoredRecord::new(record);
        self.bytes += stored.encoded().len() + 1;
        self.unfinished += usize::from(!stored.record().state().is_final());
        if let Some(old) = self.jobs.insert(stored.record().id().clone(), stored) {
            self.subtract_from_totals(&old);
        }
    }

    fn subtract_from_totals(&mut self, old: &StoredRecord) {
        self.bytes -= old.encoded().len() + 1;
        self.unfinished -= usize::from(!old.record().state().is_final());
    }

    /// Returns all records in the order of their ids.
    pub fn records(&self) -> impl Iterator<Item = &JobRecord> {
        self.jobs.values().map(StoredRecord::record)
    }

    /// Returns whether the job finished, its record was dropped and its tombstone is still kept.
    pub fn has_tombstone(&self, job: &str) -> bool {
        self.tombstones.contains(job)
    }

    /// Replaces records that finished before `wall_ms` by tombstones and returns their number.
    pub fn drop_finished_before(&mut self, wall_ms: u64) -> usize {
        let old = |record: &&JobRecord| record.state().is_final() && record.finished_ms() < wall_ms;
        let ids: Vec<Name> = self.records().filter(old).map(|record| record.id().clone()).collect();
        for id in &ids {
            self.replace_by_tombstone(id);
        }
        ids.len()
    }

    fn replace_by_tombstone(&mut self, job: &Name) {
        if let Some(old) = self.jobs.remove(job) {
            self.subtract_from_totals(&old);
            self.tombstones.insert(job);
        }
    }

    /// Returns the size of the encoded value in bytes, without its short header.
    pub fn encoded_len(&self) -> usize {
        self.bytes + self.tombstones.len() * TOMBSTONE_BYTES
    }

    /// Returns whether `additional` bytes of records would exceed the limit for new submissions.
    ///
    /// This limit is below the maximum size, because a job that was accepted must always be able to
    /// record its checkpoint and result.
    pub fn is_full(&self, additional: usize) -> bool {
        let growth = (self.unfinished + 1) * MAX_GROWTH_BYTES;
        self.encoded_len() + additional + growth > MAX_VALUE_BYTES
    }

    /// Returns the number of records in `state`, by a scan of all records.
    pub fn count(&self, state: JobState) -> usize {
        self.records().filter(|record| record.state() == state).count()
    }
}
