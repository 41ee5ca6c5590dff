//! Tests of the mapping of the planner's codes to the operators' API.

use geraniumpost::console::{http_status, job_reply, job_value};
use geraniumpost_core::jobs::{JobRecord, JobResponse, JobSpec, JobView, codes};
use geraniumpost_schema::{Name, Resources};

/// Defines a test for each case: code of the planner's response, and HTTP status of the API.
macro_rules! replies {
    ($($name:ident: $code:ident => $status:literal;)*) => {
        $(#[test]
        fn $name() {
            let response = JobResponse::new(codes::$code).retry_after_ms(7);
            match job_reply(&Name::from("study-1"), &response) {
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

/// Guards against a rejection that looks like success: an operator would assume that the job was
/// accepted.
#[test]
fn refusals_have_error_statuses() {
    for (code, name, _) in codes::TABLE {
        let rejected = (codes::ID_TAKEN..codes::FAILED_TOO_OFTEN).contains(code);
        assert_eq!(rejected, http_status(*code) >= 400, "{code} {name}");
    }
}

#[test]
fn job_is_shown_with_readable_names() {
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
