//! The state machine of a job record, compared with a reference table, and the encoding of buckets.

use assert_matches::assert_matches;
use geraniumpost_core::jobs::{
    Bucket, JobRecord, JobSpec, JobState, Transition, TransitionError, bucket_of, codes,
};
use geraniumpost_schema::Resources;
use proptest::prelude::*;

fn pending_record(id: &str) -> JobRecord {
    let need = Resources { milli_cpus: 500, memory_mb: 64, accelerators: 0 };
    let spec = JobSpec {
        id: id.into(),
        customer: "carrier-a".into(),
        class: "study".into(),
        need,
        command: "coordinate".into(),
    };
    JobRecord::new(spec, 1_000)
}

fn assigned_record() -> JobRecord {
    let mut job = pending_record("study-7");
    job.apply(Transition::Assign { worker: "agent-1".into() }, 2_000).expect("pending");
    job
}

macro_rules! run_end_cases {
    ($($case:ident: $transition:expr => $state:ident, epoch $epoch:expr;)*) => {$(
        #[test]
        fn $case() {
            let mut job = assigned_record();
            assert_eq!(job.apply($transition, 3_000), Ok(JobState::$state));
            assert_eq!(job.epoch(), $epoch);
            let mut cancelled = assigned_record();
            cancelled.apply(Transition::Cancel, 2_500).expect("assigned");
            assert_eq!(cancelled.apply($transition, 3_000), Ok(JobState::Cancelled));
            assert_eq!(cancelled.result(), "", "a result after the cancellation is discarded");
        }
    )*};
}

run_end_cases! {
    a_completion_finishes_the_job: Transition::Complete { result: "ok".into() } => Done, epoch 1;
    an_eviction_requeues_the_job: Transition::Evicted { checkpoint: "cp".into() }
        => Pending, epoch 2;
    a_refusal_requeues_the_job: Transition::Refused { not_before_ms: 5 } => Pending, epoch 2;
    a_loss_requeues_the_job: Transition::Lost { checkpoint: "cp".into() } => Pending, epoch 2;
    a_failure_requeues_the_job: run_failure(2) => Pending, epoch 2;
    the_last_failure_fails_the_job: run_failure(1) => Failed, epoch 1;
}

fn run_failure(max_attempts: u32) -> Transition {
    Transition::RunFailed { reason: "exit 1".into(), max_attempts, not_before_ms: 9_000 }
}

// A run reports its completion twice, because the response to the first report was lost. The second
// report must not replace the result, and a finished job cannot be cancelled.
#[test]
fn a_finished_job_rejects_further_transitions() {
    let mut job = assigned_record();
    job.apply(Transition::Complete { result: "first".into() }, 3_000).expect("assigned");
    let again = job.apply(Transition::Complete { result: "second".into() }, 4_000);
    assert_matches!(again, Err(TransitionError::Finished));
    assert_matches!(job.apply(Transition::Cancel, 4_000), Err(TransitionError::Finished));
    assert_eq!((job.result(), job.finished_ms(), job.code()), ("first", 3_000, codes::FINISHED));
}

#[test]
fn an_encoded_bucket_decodes_to_the_same_records() {
    let mut bucket = Bucket::default();
    let mut done = assigned_record();
    done.apply(Transition::Complete { result: "a \"quoted\" line\n".into() }, 3_000).expect("ok");
    bucket.put(done.clone());
    bucket.put(pending_record("study-8"));
    let value = bucket.encode(4, 9);
    let read = Bucket::decode(&value).expect("own encoding");
    assert_eq!((read.term(), read.sequence()), (4, 9));
    assert_eq!(read.get("study-7"), Some(&done));
    assert!(value.len().abs_diff(read.encoded_len()) < 200);
}

// A customer repeats a submission long after its job finished, when the record has been dropped.
// Without the tombstone the job would run a second time and produce a second result.
#[test]
fn a_dropped_record_leaves_a_tombstone() {
    let mut bucket = Bucket::default();
    let mut done = assigned_record();
    done.apply(Transition::Complete { result: String::new() }, 3_000).expect("assigned");
    bucket.put(done);
    assert_eq!(bucket.drop_finished_before(3_000), 0);
    assert_eq!(bucket.drop_finished_before(3_001), 1);
    let read = Bucket::decode(&bucket.encode(1, 1)).expect("own encoding");
    assert!(read.get("study-7").is_none());
    assert!(read.has_tombstone("study-7"));
    assert!(!read.has_tombstone("study-8"));
}

// If submissions could fill a bucket up to the limit of the store, no result of its jobs could be
// recorded, and finished jobs would run again.
#[test]
fn a_bucket_is_full_before_its_value_exceeds_the_store_limit() {
    let mut bucket = Bucket::default();
    let mut count = 0;
    while !bucket.is_full(400) {
        bucket.put(pending_record(&format!("study-{count}")));
        count += 1;
    }
    let ids: Vec<_> = bucket.records().map(|job| job.id().clone()).collect();
    for id in ids {
        let mut job = bucket.get(&id).expect("just listed").clone();
        job.apply(Transition::Assign { worker: "w".repeat(63).into() }, 1).expect("pending");
        job.apply(Transition::Complete { result: "\"\u{1}".repeat(9_999) }, 2).expect("assigned");
        bucket.put(job);
    }
    let size = bucket.encode(1, 1).len();
    assert!(size <= 1_000_000, "{count} records grew to {size} bytes");
}

#[derive(Debug, Clone)]
enum Operation {
    Assign,
    Evict,
    Refuse,
    Lose,
    Fail,
    Complete,
    Cancel,
}

fn operation() -> impl Strategy<Value = Operation> {
    use Operation::{Assign, Cancel, Complete, Evict, Fail, Lose, Refuse};
    prop_oneof![
        5 => Just(Assign), 2 => Just(Evict), 2 => Just(Refuse), 2 => Just(Lose),
        2 => Just(Fail), 1 => Just(Complete), 1 => Just(Cancel),
    ]
}

/// Reference model of a job record: the state by name, the number of requeued runs and of failures.
#[derive(Debug, PartialEq)]
struct ReferenceRecord {
    state: &'static str,
    requeued_runs: u64,
    failures: u32,
}

impl ReferenceRecord {
    fn apply(&mut self, operation: &Operation) -> bool {
        let (state, requeued) = match (self.state, operation) {
            ("pending", Operation::Assign) => ("assigned", false),
            ("pending" | "cancelling", Operation::Cancel) => {
                (if self.state == "pending" { "cancelled" } else { "cancelling" }, false)
            }
            ("assigned", Operation::Cancel) => ("cancelling", false),
            ("assigned", Operation::Complete) => ("done", false),
            ("assigned", Operation::Fail) => {
                self.failures += 1;
                if self.failures == 3 { ("failed", false) } else { ("pending", true) }
            }
            ("assigned", Operation::Evict | Operation::Refuse | Operation::Lose) => {
                ("pending", true)
            }
            ("cancelling", Operation::Assign) => return false,
            ("cancelling", _) => ("cancelled", false),
            _ => return false,
        };
        self.state = state;
        self.requeued_runs += u64::from(requeued);
        true
    }
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Pending => "pending",
        JobState::Assigned => "assigned",
        JobState::Cancelling => "cancelling",
        JobState::Done => "done",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    }
}

fn transition(operation: &Operation) -> Transition {
    match operation {
        Operation::Assign => Transition::Assign { worker: "agent-1".into() },
        Operation::Evict => Transition::Evicted { checkpoint: "cp".into() },
        Operation::Refuse => Transition::Refused { not_before_ms: 5 },
        Operation::Lose => Transition::Lost { checkpoint: "".into() },
        Operation::Fail => run_failure(3),
        Operation::Complete => Transition::Complete { result: "ok".into() },
        Operation::Cancel => Transition::Cancel,
    }
}

proptest! {
    #[test]
    fn a_record_matches_the_reference_table(
        operations in prop::collection::vec(operation(), 0..60),
    ) {
        let mut job = pending_record("study-7");
        let mut reference = ReferenceRecord { state: "pending", requeued_runs: 0, failures: 0 };
        for operation in &operations {
            let applied = job.apply(transition(operation), 5).is_ok();
            prop_assert_eq!(applied, reference.apply(operation), "{:?}", operation);
            prop_assert_eq!(state_name(job.state()), reference.state);
            prop_assert_eq!(job.epoch(), reference.requeued_runs + 1);
            prop_assert_eq!(job.attempts(), reference.failures);
        }
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = Bucket::decode(&bytes);
    }

    #[test]
    fn every_id_maps_to_an_existing_bucket(id in "\\PC{0,40}") {
        prop_assert!(bucket_of(&id) < geraniumpost_core::jobs::BUCKETS);
    }
}
