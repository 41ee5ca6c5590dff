//! Job records, as read and written by earlier versions.

use geraniumpost_batch::{
    JobId, JobRecord, JobSpec, JobState, Occurrence, Place, QueueTerms, StepSpec, TaskCrashes,
    TaskId, TaskPhase,
};
use serde::{Deserialize, Serialize};

/// Version byte of both layouts.
const VERSION: u8 = 1;

/// A job's record as versions without crashes know it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierJobRecord {
    spec: JobSpec,
    terms: QueueTerms,
    accepted_ms: u64,
    finished_ms: u64,
    state: JobState,
    next_occurrence: u32,
    occurrences: Vec<Occurrence>,
}

impl EarlierJobRecord {
    fn encode(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).expect("the record can be encoded");
        [&[VERSION][..], &body].concat()
    }

    fn decode(bytes: &[u8]) -> Self {
        assert_eq!(bytes[0], VERSION);
        postcard::from_bytes(&bytes[1..]).expect("an earlier version reads the record")
    }
}

/// Terms of a queue as versions know them that have no weights. They are part of each record and of
/// each submission that an entry relays.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierQueueTerms {
    queue: String,
    service: String,
    priority: u32,
    max_attempts: u32,
    stretch_percent: u32,
    target_ms: u32,
    needs_approval: bool,
}

const TASK: TaskId = TaskId { job: JobId(7), occurrence: 0, step: 0, index: 1 };

/// Returns a record of a job with a placed task, under which two minions have crashed.
fn record_with_crashes() -> JobRecord {
    let step = StepSpec { count: 2, ..StepSpec::default() };
    let spec = JobSpec { payload: "work".into(), steps: vec![step], ..JobSpec::default() };
    let mut record = JobRecord::new(spec, QueueTerms::default(), 1_000);
    record.begin_occurrence(1_000);
    let place = Place { minion: "m1".into(), agent: "a1".into() };
    record.occurrences[0].steps[0][1].phase = TaskPhase::Placed(place);
    record.crashes.insert(TASK, TaskCrashes { runs: vec![1, 300], at_start: 1 });
    record
}

fn without_crashes(record: JobRecord) -> EarlierJobRecord {
    EarlierJobRecord {
        spec: record.spec,
        terms: record.terms,
        accepted_ms: record.accepted_ms,
        finished_ms: record.finished_ms,
        state: record.state,
        next_occurrence: record.next_occurrence,
        occurrences: record.occurrences,
    }
}

/// A successor that did not know the crashes of a task would start it as often again.
#[test]
fn crashes_are_kept() {
    let record = record_with_crashes();
    assert_eq!(JobRecord::decode(&record.encode()), Ok(record));
}

/// Entries are replaced one by one, and an earlier version may coordinate after a later one. If it
/// could not read a record, the job would be lost.
#[test]
fn earlier_versions_read_records_with_crashes() {
    let record = record_with_crashes();
    assert_eq!(EarlierJobRecord::decode(&record.encode()), without_crashes(record));
}

/// The other way round: a later version takes over from an earlier one.
#[test]
fn records_of_earlier_versions_are_read() {
    let mut record = record_with_crashes();
    let earlier = without_crashes(record.clone()).encode();
    record.crashes.clear();
    assert_eq!(record.encode(), earlier, "without crashes the layouts are the same");
    assert_eq!(JobRecord::decode(&earlier), Ok(record));
}

/// Whatever follows the record itself, the job is not lost.
#[test]
fn malformed_crashes_do_not_lose_the_job() {
    let mut expected = record_with_crashes();
    let whole = expected.encode();
    expected.crashes.clear();
    let body = expected.encode().len();
    for length in body..whole.len() {
        assert_eq!(JobRecord::decode(&whole[..length]), Ok(expected.clone()), "cut at {length}");
    }
    for garbage in [&[0xff; 12][..], &[1, 7, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 0x0f], &[200, 1]] {
        let bytes = [&whole[..body], garbage].concat();
        assert_eq!(JobRecord::decode(&bytes), Ok(expected.clone()), "{garbage:?}");
    }
}

/// A finished job's record is kept for two minutes, and needs no crashes any more.
#[test]
fn compacted_record_has_no_crashes() {
    let mut record = record_with_crashes();
    record.compact();
    assert!(record.crashes.is_empty());
}

/// Entries with and without weights of queues run side by side. Terms in the middle of a record or
/// of a submission that had a further field could not be read by the others.
#[test]
fn terms_are_the_same_for_versions_without_weights() {
    let earlier = EarlierQueueTerms {
        queue: "lookups".to_owned(),
        service: "meters".to_owned(),
        priority: 2,
        max_attempts: 4,
        stretch_percent: 150,
        target_ms: 300,
        needs_approval: true,
    };
    let bytes = postcard::to_stdvec(&earlier).expect("the terms can be encoded");
    let terms: QueueTerms = postcard::from_bytes(&bytes).expect("a later version reads the terms");
    assert_eq!(terms.queue, "lookups".into());
    assert_eq!(postcard::to_stdvec(&terms), Ok(bytes));
}
