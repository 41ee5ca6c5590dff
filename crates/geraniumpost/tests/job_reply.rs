//! The planner's codes on their way to an operator.

use geraniumpost::console::{http_status, job_reply, job_value};
use geraniumpost_core::jobs::{JobRecord, JobResponse, JobSpec, JobView, codes};
use geraniumpost_schema::{Name, Resources};

/// Names cases of the planner's answers and the HTTP status that an operator sees.
macro_rules! replies {
    ($($name:ident: $code:ident => $status:literal;)*) => {
        $(#[test]
        fn $name() {
            let answer = JobResponse::new(codes::$code).retry_after_ms(7);
            match job_reply(&Name::from("study-1"), &answer) {
                Ok(value) => assert_eq!((200, value["code"].as_u64()), ($status, Some(u64::from(codes::$code)))),
                Err(error) => {
                    assert_eq!((error.status, error.code), ($status, codes::$code));
                    assert!(error.message.contains("study-1") && !error.advice.is_empty());
                    assert_eq!(error.retry_after_ms, 7);
                }
            }
        })*
    };
}

replies! {
    accepted: ACCEPTED => 200;
    accepted_before: ALREADY_ACCEPTED => 200;
    cancelled: CANCELLED => 200;
    id_taken: ID_TAKEN => 409;
    unknown: UNKNOWN_JOB => 404;
    too_late_to_cancel: FINISHED_BEFORE_CANCEL => 409;
    too_many: TOO_MANY_JOBS => 429;
    impossible: IMPOSSIBLE => 422;
    not_planner: NOT_PLANNER => 503;
    not_recorded: NOT_RECORDED => 503;
}

/// A refusal shown as success would make an operator believe in a job that nobody has.
#[test]
fn no_refusal_looks_like_success() {
    for (code, name, _) in codes::TABLE {
        let refused = (codes::ID_TAKEN..codes::FAILED_TOO_OFTEN).contains(code);
        assert_eq!(refused, http_status(*code) >= 400, "{code} {name}");
    }
}

#[test]
fn a_job_is_shown_under_names_that_a_person_reads() {
    let spec = JobSpec {
        id: Name::from("study-1"),
        customer: Name::from("claro"),
        class: Name::from("study"),
        need: Resources { milli_cpus: 500, memory_mb: 64, accelerators: 0 },
        command: "run".to_owned(),
    };
    let record = JobRecord::new(spec, 1);
    let view = JobView { record, committed: true, running: false, evicting: false };
    let value = job_value(&view);
    assert_eq!((&value["state"], &value["id"]), (&"pending".into(), &"study-1".into()));
    assert_eq!(value["need"]["milli_cpus"], 500);
    assert_eq!(job_value(&JobView { running: true, ..view })["state"], "running");
}
