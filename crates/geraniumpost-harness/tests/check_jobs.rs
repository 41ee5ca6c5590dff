//! Tests of the checker of jobs: it must find each violated guarantee and report nothing else.

use std::collections::BTreeMap;

use geraniumpost_harness::check::{JobViolation, ObservedJob, check_jobs};
use geraniumpost_standin::worker::{WorkerEvent, WorkerEventKind};

use WorkerEventKind::{Checkpointed, Done, Lapsed, Overfilled, Started, Stopped};

fn event(at_us: u64, worker: &str, epoch: u64, kind: WorkerEventKind, detail: &str) -> WorkerEvent {
    WorkerEvent {
        at_us,
        worker: worker.to_owned(),
        task: "study".to_owned(),
        epoch,
        kind,
        progress_us: 0,
        detail: detail.to_owned(),
    }
}

fn completed(result: &str) -> Vec<ObservedJob> {
    vec![ObservedJob { id: "study".to_owned(), result: Some(result.to_owned()) }]
}

fn not_completed() -> Vec<ObservedJob> {
    vec![ObservedJob { id: "study".to_owned(), result: None }]
}

fn job_id() -> String {
    "study".to_owned()
}

fn overlap() -> JobViolation {
    JobViolation::Overlap {
        job: job_id(),
        first: 1,
        first_worker: "w1".to_owned(),
        second: 2,
        second_worker: "w2".to_owned(),
    }
}

/// Defines a test for each case: events in the workers' records, observed jobs, lost workers, and
/// expected violations.
macro_rules! finds {
    ($($name:ident: [$($event:expr),* $(,)?], $jobs:expr, lost: $lost:expr => $found:expr;)*) => {$(
        #[test]
        fn $name() {
            let record = vec![$($event),*];
            let lost: &[(&str, u64)] = &$lost;
            let lost: BTreeMap<String, u64> =
                lost.iter().map(|(name, at)| ((*name).to_owned(), *at)).collect();
            let found: Vec<JobViolation> = $found.into();
            assert_eq!(check_jobs(&record, &$jobs, &lost), found);
        }
    )*};
}

finds! {
    one_run_is_accepted:
        [event(1, "w1", 1, Started, ""), event(2, "w1", 1, Done, "r")],
        completed("r"), lost: [] => [];
    run_from_the_previous_checkpoint_is_accepted:
        [
            event(1, "w1", 1, Started, ""), event(2, "w1", 1, Checkpointed, "c"),
            event(3, "w1", 1, Stopped, ""), event(4, "w2", 2, Started, "c"),
            event(5, "w2", 2, Done, "r"),
        ],
        completed("r"), lost: [] => [];
    second_completion_after_a_lost_vm_is_accepted:
        [
            event(1, "w1", 1, Started, ""), event(2, "w1", 1, Done, "r"),
            event(9, "w2", 2, Started, ""), event(10, "w2", 2, Done, "r"),
        ],
        completed("r"), lost: [("w1", 5)] => [];
    run_that_ended_with_its_vm_is_accepted:
        [
            event(1, "w1", 1, Started, ""), event(9, "w2", 2, Started, ""),
            event(10, "w2", 2, Done, "r"),
        ],
        completed("r"), lost: [("w1", 5)] => [];
    overlapping_runs:
        [
            event(1, "w1", 1, Started, ""), event(2, "w2", 2, Started, ""),
            event(3, "w1", 1, Lapsed, ""), event(4, "w2", 2, Done, "r"),
        ],
        completed("r"), lost: [] => [overlap()];
    first_run_that_never_ended:
        [event(1, "w1", 1, Started, ""), event(4, "w2", 2, Started, ""), event(5, "w2", 2, Done, "r")],
        completed("r"), lost: [] => [overlap()];
    repeated_epoch:
        [
            event(1, "w1", 1, Started, ""), event(2, "w1", 1, Lapsed, ""),
            event(3, "w2", 1, Started, ""), event(4, "w2", 1, Done, "r"),
        ],
        completed("r"), lost: []
        => [JobViolation::EpochNotHigher { job: job_id(), first: 1, second: 1 }];
    unknown_checkpoint:
        [event(1, "w1", 1, Started, "c"), event(2, "w1", 1, Done, "r")],
        completed("r"), lost: []
        => [JobViolation::UnknownCheckpoint { job: job_id(), checkpoint: "c".to_owned() }];
    ignored_checkpoint:
        [
            event(1, "w1", 1, Started, ""), event(2, "w1", 1, Checkpointed, "c"),
            event(3, "w1", 1, Stopped, ""), event(4, "w2", 2, Started, ""),
            event(5, "w2", 2, Done, "r"),
        ],
        completed("r"), lost: []
        => [JobViolation::LostCheckpoint {
            job: job_id(), expected: "c".to_owned(), resumed: String::new(),
        }];
    two_completions:
        [
            event(1, "w1", 1, Started, ""), event(2, "w1", 1, Done, "r"),
            event(3, "w2", 2, Started, ""), event(4, "w2", 2, Done, "r"),
        ],
        completed("r"), lost: [] => [JobViolation::CompletedTwice { job: job_id(), times: 2 }];
    unknown_result:
        [event(1, "w1", 1, Started, ""), event(2, "w1", 1, Done, "r")],
        completed("other"), lost: []
        => [JobViolation::UnknownResult { job: job_id(), result: "other".to_owned() }];
    lost_result:
        [event(1, "w1", 1, Started, ""), event(2, "w1", 1, Done, "r")],
        not_completed(), lost: [] => [JobViolation::LostResult(job_id())];
    lost_job: [], not_completed(), lost: [] => [JobViolation::Lost(job_id())];
    worker_over_its_capacity:
        [event(1, "w1", 1, Started, ""), event(1, "w1", 1, Overfilled, "9 of 8"),
         event(2, "w1", 1, Done, "r")],
        completed("r"), lost: []
        => [JobViolation::OverCapacity { worker: "w1".to_owned(), held: "9 of 8".to_owned() }];
}
