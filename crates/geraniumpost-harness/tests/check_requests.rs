//! Tests of the checker of requests: it must find each violated guarantee and report nothing else.

use std::time::Duration;

use bytes::Bytes;
use geraniumpost_harness::check::{ObservedRequest, Outcome, RequestViolation, check_requests};
use geraniumpost_standin::minion::{MinionEvent, MinionEventKind, expected_answer};

fn run(id: &str, kind: MinionEventKind) -> MinionEvent {
    MinionEvent {
        at_us: 0,
        minion: "m1".to_owned(),
        run: 1,
        kind,
        request_id: id.to_owned(),
        key: String::new(),
        target: "POST /kiosk/badge".to_owned(),
        body_digest: String::new(),
    }
}

fn started(id: &str) -> MinionEvent {
    run(id, MinionEventKind::Started)
}

fn request(id: &str, key: &str, outcome: Outcome) -> ObservedRequest {
    ObservedRequest {
        request_id: id.to_owned(),
        key: key.to_owned(),
        idempotent: false,
        body: "badge".into(),
        answer_bytes: 0,
        outcome,
        code: 0,
        elapsed: Duration::ZERO,
    }
}

fn answered(id: &str) -> Outcome {
    Outcome::Answered { status: 200, body: expected_answer(id, b"badge", 0) }
}

fn twice(operation: &str) -> RequestViolation {
    RequestViolation::RanTwice { operation: operation.to_owned(), runs: 2 }
}

/// Defines a test for each case: observed requests, events in the minions' records, and expected
/// violations.
macro_rules! finds {
    ($($name:ident: $requests:expr, $record:expr => $found:expr;)*) => {$(
        #[test]
        fn $name() {
            let requests: Vec<ObservedRequest> = $requests.into();
            let record: Vec<MinionEvent> = $record.into();
            let found: Vec<RequestViolation> = $found.into();
            assert_eq!(check_requests(&requests, &record), found);
        }
    )*};
}

finds! {
    own_response_is_accepted: [request("a", "", answered("a"))], [started("a")] => [];
    not_run_is_accepted: [request("a", "", Outcome::NotRun)], [started("b")] => [];
    unknown_outcome_is_accepted_with_and_without_a_run:
        [request("a", "", Outcome::MayHaveRun), request("b", "", Outcome::NoResponse)],
        [started("a")] => [];
    retry_may_get_the_first_response:
        [request("a", "k", Outcome::NoResponse), request("b", "k", answered("a"))],
        [started("a")] => [];
    idempotent_request_may_run_twice:
        [ObservedRequest { idempotent: true, ..request("a", "", answered("a")) }],
        [started("a"), started("a")] => [];
    run_after_not_run_was_reported:
        [request("a", "", Outcome::NotRun)], [started("a")]
        => [RequestViolation::RanAlthoughNotRun("a".to_owned())];
    run_after_entry_was_unreachable:
        [request("a", "", Outcome::Unreachable)], [started("a")]
        => [RequestViolation::RanAlthoughNotRun("a".to_owned())];
    second_run_of_one_request:
        [request("a", "", answered("a"))], [started("a"), started("a")] => [twice("a")];
    second_run_of_one_key:
        [request("a", "k", Outcome::NoResponse), request("b", "k", answered("b"))],
        [started("a"), started("b")] => [twice("k")];
    response_to_another_request:
        [request("a", "", answered("b")), request("b", "", Outcome::NoResponse)],
        [started("a"), started("b")] => [RequestViolation::WrongAnswer("a".to_owned())];
    incomplete_response:
        [request("a", "", Outcome::Answered { status: 200, body: Bytes::from_static(b"id=a") })],
        [started("a")] => [RequestViolation::WrongAnswer("a".to_owned())];
    response_without_a_run:
        [request("a", "", answered("a"))], []
        => [RequestViolation::AnsweredWithoutRun("a".to_owned())];
    minion_over_its_slots:
        [], [started("a"), run("b", MinionEventKind::OverSlots)]
        => [RequestViolation::OverSlots("m1".to_owned())];
}
