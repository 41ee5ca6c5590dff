//! The life of one job, compared with a naive table of states.

use assert_matches::assert_matches;
use geraniumpost_core::jobs::{
    Bucket, JobRecord, JobSpec, JobState, Transition, TransitionError, bucket_of, codes,
};
use geraniumpost_schema::Resources;
use proptest::prelude::*;

fn record(id: &str) -> JobRecord {
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

fn assigned() -> JobRecord {
    let mut job = record("study-7");
    job.apply(Transition::Assign { worker: "agent-1".into() }, 2_000).expect("pending");
    job
}

macro_rules! ends_of_a_run {
    ($($case:ident: $step:expr => $state:ident, epoch $epoch:expr;)*) => {$(
        #[test]
        fn $case() {
            let mut job = assigned();
            assert_eq!(job.apply($step, 3_000), Ok(JobState::$state));
            assert_eq!(job.epoch(), $epoch);
            let mut cancelled = assigned();
            cancelled.apply(Transition::Cancel, 2_500).expect("assigned");
            assert_eq!(cancelled.apply($step, 3_000), Ok(JobState::Cancelled));
            assert_eq!(cancelled.result(), "", "a result after the cancellation is not taken");
        }
    )*};
}

ends_of_a_run! {
    a_completion_finishes: Transition::Complete { result: "ok".into() } => Done, epoch 1;
    an_eviction_requeues: Transition::Evicted { checkpoint: "cp".into() } => Pending, epoch 2;
    a_refusal_requeues: Transition::Refused { not_before_ms: 5 } => Pending, epoch 2;
    a_loss_requeues: Transition::Lost { checkpoint: "cp".into() } => Pending, epoch 2;
    a_failure_requeues: failure(2) => Pending, epoch 2;
    the_last_failure_finishes: failure(1) => Failed, epoch 1;
}

fn failure(max_attempts: u32) -> Transition {
    Transition::RunFailed { reason: "exit 1".into(), max_attempts, not_before_ms: 9_000 }
}

// A run reports its completion a second time, or after its job was cancelled, because the first
// report or its answer was lost. The customer would see a result replaced or a cancelled job done.
#[test]
fn a_finished_job_takes_nothing_more() {
    let mut job = assigned();
    job.apply(Transition::Complete { result: "first".into() }, 3_000).expect("assigned");
    let again = job.apply(Transition::Complete { result: "second".into() }, 4_000);
    assert_matches!(again, Err(TransitionError::Finished));
    assert_matches!(job.apply(Transition::Cancel, 4_000), Err(TransitionError::Finished));
    assert_eq!((job.result(), job.finished_ms(), job.code()), ("first", 3_000, codes::FINISHED));
}

#[test]
fn a_bucket_reads_back_what_it_wrote() {
    let mut bucket = Bucket::default();
    let mut done = assigned();
    done.apply(Transition::Complete { result: "a \"quoted\" line\n".into() }, 3_000).expect("ok");
    bucket.put(done.clone());
    bucket.put(record("study-8"));
    let value = bucket.encode(4, 9);
    let read = Bucket::decode(&value).expect("own encoding");
    assert_eq!((read.term(), read.sequence()), (4, 9));
    assert_eq!(read.get("study-7"), Some(&done));
    assert!(value.len().abs_diff(read.bytes()) < 200);
}

// A customer repeats a submission long after its job finished, when the record is already gone. The
// job would run a second time and the regulator would get two results.
#[test]
fn a_dropped_record_leaves_a_tombstone() {
    let mut bucket = Bucket::default();
    let mut done = assigned();
    done.apply(Transition::Complete { result: String::new() }, 3_000).expect("assigned");
    bucket.put(done);
    assert_eq!(bucket.drop_finished_before(3_000), 0);
    assert_eq!(bucket.drop_finished_before(3_001), 1);
    let read = Bucket::decode(&bucket.encode(1, 1)).expect("own encoding");
    assert!(read.get("study-7").is_none());
    assert!(read.has_tombstone("study-7"));
    assert!(!read.has_tombstone("study-8"));
}

// Submissions fill a store value until the store refuses it. From then on no result in it could be
// recorded, and finished studies would run again.
#[test]
fn a_bucket_is_full_before_its_value_is_too_large() {
    let mut bucket = Bucket::default();
    let mut count = 0;
    while !bucket.is_full(400) {
        bucket.put(record(&format!("study-{count}")));
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
enum Step {
    Assign,
    Evict,
    Refuse,
    Lose,
    Fail,
    Complete,
    Cancel,
}

fn step() -> impl Strategy<Value = Step> {
    use Step::{Assign, Cancel, Complete, Evict, Fail, Lose, Refuse};
    prop_oneof![
        5 => Just(Assign), 2 => Just(Evict), 2 => Just(Refuse), 2 => Just(Lose),
        2 => Just(Fail), 1 => Just(Complete), 1 => Just(Cancel),
    ]
}

/// What a reader of the rules would write down: words for states, and two counts.
#[derive(Debug, PartialEq)]
struct Naive {
    state: &'static str,
    runs_ended: u64,
    failures: u32,
}

impl Naive {
    fn apply(&mut self, step: &Step) -> bool {
        let (state, ended) = match (self.state, step) {
            ("pending", Step::Assign) => ("assigned", false),
            ("pending" | "cancel wanted", Step::Cancel) => {
                (if self.state == "pending" { "cancelled" } else { "cancel wanted" }, false)
            }
            ("assigned", Step::Cancel) => ("cancel wanted", false),
            ("assigned", Step::Complete) => ("done", false),
            ("assigned", Step::Fail) => {
                self.failures += 1;
                if self.failures == 3 { ("failed", false) } else { ("pending", true) }
            }
            ("assigned", Step::Evict | Step::Refuse | Step::Lose) => ("pending", true),
            ("cancel wanted", Step::Assign) => return false,
            ("cancel wanted", _) => ("cancelled", false),
            _ => return false,
        };
        self.state = state;
        self.runs_ended += u64::from(ended);
        true
    }
}

fn word(state: JobState) -> &'static str {
    match state {
        JobState::Pending => "pending",
        JobState::Assigned => "assigned",
        JobState::Cancelling => "cancel wanted",
        JobState::Done => "done",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    }
}

fn transition(step: &Step) -> Transition {
    match step {
        Step::Assign => Transition::Assign { worker: "agent-1".into() },
        Step::Evict => Transition::Evicted { checkpoint: "cp".into() },
        Step::Refuse => Transition::Refused { not_before_ms: 5 },
        Step::Lose => Transition::Lost { checkpoint: "".into() },
        Step::Fail => failure(3),
        Step::Complete => Transition::Complete { result: "ok".into() },
        Step::Cancel => Transition::Cancel,
    }
}

proptest! {
    #[test]
    fn a_record_agrees_with_the_naive_table(steps in prop::collection::vec(step(), 0..60)) {
        let mut job = record("study-7");
        let mut naive = Naive { state: "pending", runs_ended: 0, failures: 0 };
        for step in &steps {
            let applied = job.apply(transition(step), 5).is_ok();
            prop_assert_eq!(applied, naive.apply(step), "{:?}", step);
            prop_assert_eq!(word(job.state()), naive.state);
            prop_assert_eq!(job.epoch(), naive.runs_ended + 1);
            prop_assert_eq!(job.attempts(), naive.failures);
        }
    }

    #[test]
    fn no_bytes_panic_the_decoder(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Bucket::decode(&bytes);
    }

    #[test]
    fn every_id_has_a_bucket(id in "\\PC{0,40}") {
        prop_assert!(bucket_of(&id) < geraniumpost_core::jobs::BUCKETS);
    }
}
