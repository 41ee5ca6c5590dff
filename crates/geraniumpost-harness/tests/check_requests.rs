//! The checker of requests must find each broken promise and nothing else.

use std::time::Duration;

use bytes::Bytes;
use geraniumpost_harness::check::{RequestViolation, Told, Word, check_requests};
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

fn told(id: &str, key: &str, word: Word) -> Told {
    Told {
        request_id: id.to_owned(),
        key: key.to_owned(),
        idempotent: false,
        body: "badge".into(),
        answer_bytes: 0,
        word,
        code: 0,
        took: Duration::ZERO,
    }
}

fn answered(id: &str) -> Word {
    Word::Answered { status: 200, body: expected_answer(id, b"badge", 0) }
}

fn twice(intention: &str) -> RequestViolation {
    RequestViolation::RanTwice { intention: intention.to_owned(), runs: 2 }
}

/// Names each case of words, runs and what the checker finds.
macro_rules! finds {
    ($($name:ident: $told:expr, $record:expr => $found:expr;)*) => {$(
        #[test]
        fn $name() {
            let told: Vec<Told> = $told.into();
            let record: Vec<MinionEvent> = $record.into();
            let found: Vec<RequestViolation> = $found.into();
            assert_eq!(check_requests(&told, &record), found);
        }
    )*};
}

finds! {
    own_answer_is_right: [told("a", "", answered("a"))], [started("a")] => [];
    not_run_is_right: [told("a", "", Word::NotRun)], [started("b")] => [];
    unknown_is_right_either_way:
        [told("a", "", Word::MayHaveRun), told("b", "", Word::Nothing)], [started("a")] => [];
    repeat_gets_the_first_answer:
        [told("a", "k", Word::Nothing), told("b", "k", answered("a"))], [started("a")] => [];
    idempotent_request_may_run_twice:
        [Told { idempotent: true, ..told("a", "", answered("a")) }],
        [started("a"), started("a")] => [];
    run_despite_not_run:
        [told("a", "", Word::NotRun)], [started("a")]
        => [RequestViolation::RanAlthoughNotRun("a".to_owned())];
    run_despite_unreachable:
        [told("a", "", Word::Unreachable)], [started("a")]
        => [RequestViolation::RanAlthoughNotRun("a".to_owned())];
    second_run_of_one_request:
        [told("a", "", answered("a"))], [started("a"), started("a")] => [twice("a")];
    second_run_of_one_key:
        [told("a", "k", Word::Nothing), told("b", "k", answered("b"))],
        [started("a"), started("b")] => [twice("k")];
    answer_of_another:
        [told("a", "", answered("b")), told("b", "", Word::Nothing)],
        [started("a"), started("b")] => [RequestViolation::WrongAnswer("a".to_owned())];
    half_an_answer:
        [told("a", "", Word::Answered { status: 200, body: Bytes::from_static(b"id=a") })],
        [started("a")] => [RequestViolation::WrongAnswer("a".to_owned())];
    answer_without_a_run:
        [told("a", "", answered("a"))], []
        => [RequestViolation::AnsweredWithoutRun("a".to_owned())];
    overfilled_minion:
        [], [started("a"), run("b", MinionEventKind::OverSlots)]
        => [RequestViolation::OverSlots("m1".to_owned())];
}
