//! What an entry tells a caller, against what really ran.

mod requests_support;

use std::sync::Arc;
use std::thread;

use geraniumpost_core::requests::{
    AttemptEvent, EntryLimits, NextStep, RequestKind, RetryBudget, RetryLimits, RetryPolicy,
};
use geraniumpost_core::{Millis, ResultCode};
use geraniumpost_schema::{AskVerdict, Outcome};
use proptest::prelude::*;
use requests_support::cases;

const DEADLINE: Millis = Millis(2_000);

/// What becomes of one attempt, which the entry does not see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Truth {
    /// It will never run.
    Never,
    /// It ran or runs.
    Ran,
    /// Its bytes are on the way: it runs unless a question bars it first.
    Late,
}

/// How one attempt goes: its truth and dice for the events.
type Attempt = (Truth, Vec<(u8, u16)>);

fn attempt() -> impl Strategy<Value = Attempt> {
    let truth = prop_oneof![Just(Truth::Never), Just(Truth::Ran), Just(Truth::Late)];
    (truth, prop::collection::vec((any::<u8>(), 0..300u16), 12))
}

fn outcome(outcome: Outcome) -> AttemptEvent {
    AttemptEvent::Outcome { outcome, retry_after_ms: 7 }
}

/// Events that an entry may see of an attempt of this truth when it last did `step`.
fn possible(truth: Truth, step: NextStep) -> Vec<AttemptEvent> {
    let mut events = vec![AttemptEvent::LinkLost, AttemptEvent::LinkUnresponsive];
    events.extend([outcome(Outcome::Unknown), AttemptEvent::DeadlinePassed { sent: true }]);
    if matches!(step, NextStep::Ask { .. }) {
        let unknown = AttemptEvent::Verdict(AskVerdict::Unknown);
        events.extend([AttemptEvent::AskFailed, AttemptEvent::AgentRestarted, unknown]);
    }
    match (truth, step) {
        (Truth::Never, NextStep::Retry) => events.extend([
            AttemptEvent::NeverSent,
            AttemptEvent::NoAgent,
            AttemptEvent::DeadlinePassed { sent: false },
        ]),
        (Truth::Ran, NextStep::Ask { .. }) => {
            let verdicts = [AskVerdict::Running, AskVerdict::Finished];
            events.extend(verdicts.map(AttemptEvent::Verdict));
        }
        (Truth::Never | Truth::Late, NextStep::Ask { .. }) => {
            events.push(AttemptEvent::Verdict(AskVerdict::NeverStarted));
        }
        _ => {}
    }
    match truth {
        Truth::Never => events.extend(
            [
                Outcome::NotRunOverloaded,
                Outcome::NotRunDeadline,
                Outcome::NotRunDraining,
                Outcome::NotRunBarred,
                Outcome::NotRunUnreachable,
                Outcome::NotRunUnknownService,
            ]
            .map(outcome),
        ),
        Truth::Ran => events.extend(
            [Outcome::Answered, Outcome::RunFailed, Outcome::RunTruncated, Outcome::RunTimedOut]
                .map(outcome),
        ),
        Truth::Late => {}
    }
    events
}

/// What one request came to.
#[derive(Debug)]
struct End {
    last: NextStep,
    may_have_run: u32,
    attempts: u32,
    paid: u32,
}

/// Plays the attempts against `decide` until the request has its answer.
fn play(
    attempts: &[Attempt],
    affordable: u32,
    mut decide: impl FnMut(AttemptEvent, Millis, &mut dyn FnMut() -> bool) -> NextStep,
) -> End {
    let mut end = End { last: NextStep::Retry, may_have_run: 0, attempts: 0, paid: 0 };
    let mut now = Millis(0);
    for (truth, dice) in attempts {
        end.attempts += 1;
        let mut truth = *truth;
        let mut step = NextStep::Retry;
        for &(die, ms) in dice {
            now = now.plus(u64::from(ms));
            let events = possible(truth, step);
            let event = events[die as usize % events.len()];
            if event == AttemptEvent::Verdict(AskVerdict::NeverStarted) {
                truth = Truth::Never;
            }
            step = decide(event, now, &mut || {
                end.paid += 1;
                end.paid <= affordable
            });
            if matches!(step, NextStep::Retry | NextStep::Deliver | NextStep::Answer { .. }) {
                break;
            }
        }
        end.may_have_run += u32::from(truth != Truth::Never);
        end.last = step;
        if step != NextStep::Retry {
            break;
        }
    }
    end
}

fn kinds() -> impl Strategy<Value = RequestKind> {
    prop_oneof![Just(RequestKind::Idempotent), Just(RequestKind::Once), Just(RequestKind::Keyed)]
}

/// Whether the end breaks a promise, and which.
fn broken(kind: RequestKind, end: &End) -> Option<&'static str> {
    if kind != RequestKind::Idempotent && end.may_have_run > 1 {
        return Some("ran twice");
    }
    match end.last {
        NextStep::Answer { code, .. } if code.is_not_run() && end.may_have_run > 0 => {
            Some("said not run of what ran")
        }
        NextStep::Answer { code, retry_after_ms: 0 } if code.is_not_run() => {
            Some("did not say when to come back")
        }
        NextStep::Retry => Some("goes on for ever"),
        _ => None,
    }
}

proptest! {
    #[test]
    fn keeps_its_promises(
        kind in kinds(),
        affordable in 0..5u32,
        attempts in prop::collection::vec(attempt(), 6),
    ) {
        let mut policy = RetryPolicy::new(kind, DEADLINE, RetryLimits::default());
        let end = play(&attempts, affordable, |event, now, budget| policy.on_event(event, now, budget));
        prop_assert_eq!(broken(kind, &end), None, "{:?}", end);
        prop_assert!(end.attempts <= 4);
    }
}

/// A policy that sends everything again after any trouble: the world above must catch it.
#[test]
fn a_naive_policy_breaks_promises_in_the_same_world() {
    let naive = |event, _, _: &mut dyn FnMut() -> bool| match event {
        AttemptEvent::Outcome { outcome: Outcome::Answered, .. } => NextStep::Deliver,
        AttemptEvent::DeadlinePassed { .. } => {
            NextStep::Answer { code: ResultCode::DeadlineTooShort, retry_after_ms: 1 }
        }
        _ => NextStep::Retry,
    };
    let lost = (Truth::Ran, vec![(0, 1); 12]);
    let late = (Truth::Ran, vec![(3, 1); 12]);
    let end = play(&[lost.clone(), lost], 9, naive);
    assert_eq!(broken(RequestKind::Once, &end), Some("ran twice"));
    let end = play(&[late], 9, naive);
    assert_eq!(broken(RequestKind::Once, &end), Some("said not run of what ran"));
}

/// Plays events in order with a full budget and returns the last step.
fn steps(kind: RequestKind, events: &[AttemptEvent]) -> NextStep {
    let mut policy = RetryPolicy::new(kind, DEADLINE, RetryLimits::default());
    let mut step = NextStep::Wait;
    for &event in events {
        step = policy.on_event(event, Millis(1), || true);
    }
    step
}

const fn answer(code: ResultCode, retry_after_ms: u64) -> NextStep {
    NextStep::Answer { code, retry_after_ms }
}

fn check_steps(kind: RequestKind, events: &[AttemptEvent], expected: NextStep) {
    assert_eq!(steps(kind, events), expected);
}

const NEVER: AttemptEvent = AttemptEvent::Verdict(AskVerdict::NeverStarted);
const RUNNING: AttemptEvent = AttemptEvent::Verdict(AskVerdict::Running);
const LOST: AttemptEvent = AttemptEvent::LinkLost;
const FULL: AttemptEvent =
    AttemptEvent::Outcome { outcome: Outcome::NotRunOverloaded, retry_after_ms: 30 };
const FAILED: AttemptEvent =
    AttemptEvent::Outcome { outcome: Outcome::RunFailed, retry_after_ms: 0 };

cases! { check_steps;
    a_badge_print_is_not_repeated_after_a_lost_link:
        RequestKind::Once, &[LOST], NextStep::Ask { after_ms: 0 };
    a_barred_badge_print_goes_elsewhere: RequestKind::Once, &[LOST, NEVER], NextStep::Retry;
    a_running_badge_print_is_waited_for: RequestKind::Once, &[LOST, RUNNING], NextStep::Wait;
    a_restarted_agent_leaves_the_outcome_unknown:
        RequestKind::Once, &[LOST, AttemptEvent::AgentRestarted],
        answer(ResultCode::OutcomeUnknown, 0);
    an_agent_that_cannot_be_asked_leaves_the_outcome_unknown:
        RequestKind::Once,
        &[LOST, AttemptEvent::AskFailed, AttemptEvent::AskFailed, AttemptEvent::AskFailed],
        answer(ResultCode::OutcomeUnknown, 0);
    a_failed_badge_print_is_not_repeated:
        RequestKind::Once, &[FAILED], answer(ResultCode::MinionFailed, 0);
    a_refusal_after_a_lost_attempt_is_not_called_not_run:
        RequestKind::Idempotent, &[LOST, AttemptEvent::NoAgent],
        answer(ResultCode::OutcomeUnknown, 1_000);
    a_refusal_after_a_failed_attempt_is_not_called_not_run:
        RequestKind::Idempotent, &[FAILED, AttemptEvent::NoAgent],
        answer(ResultCode::MinionFailed, 1_000);
    a_match_is_repeated_after_a_lost_link: RequestKind::Idempotent, &[LOST], NextStep::Retry;
    an_overloaded_agent_is_left_for_another: RequestKind::Once, &[FULL], NextStep::Retry;
    overload_everywhere_names_the_soonest_return:
        RequestKind::Once, &[FULL, FULL, FULL, FULL], answer(ResultCode::Overloaded, 30);
    a_refusal_by_the_agent_itself_ends_the_doubt:
        RequestKind::Once, &[LOST, FULL, FULL, FULL, FULL], answer(ResultCode::Overloaded, 30);
    an_unsent_key_is_asked_for_before_it_moves:
        RequestKind::Keyed, &[AttemptEvent::NeverSent], NextStep::Ask { after_ms: 0 };
    a_deadline_before_sending_is_not_run:
        RequestKind::Once, &[AttemptEvent::DeadlinePassed { sent: false }],
        answer(ResultCode::DeadlineTooShort, 1_000);
    a_deadline_after_sending_is_unknown:
        RequestKind::Once, &[FULL, AttemptEvent::DeadlinePassed { sent: true }],
        answer(ResultCode::OutcomeUnknown, 0);
    a_deadline_while_it_runs_is_a_timeout:
        RequestKind::Once, &[LOST, RUNNING, AttemptEvent::DeadlinePassed { sent: true }],
        answer(ResultCode::TimedOut, 0);
}

/// The budget is spent because many agents fail at once. An idempotent request whose link was lost
/// is then not run again, but the agent may still have its answer, so it is asked.
#[test]
fn without_budget_a_lost_request_is_asked_for() {
    let mut policy = RetryPolicy::new(RequestKind::Idempotent, DEADLINE, RetryLimits::default());
    assert_eq!(policy.on_event(LOST, Millis(1), || false), NextStep::Ask { after_ms: 0 });
    let unknown = AttemptEvent::Verdict(AskVerdict::Unknown);
    let end = policy.on_event(unknown, Millis(1), || false);
    assert_eq!(end, answer(ResultCode::OutcomeUnknown, 1_000));
}

/// Half of all attempts fail. Without a budget each request is sent up to four times, and the load
/// nearly doubles just when minions are missing.
#[test]
fn retries_stay_a_share_of_the_requests() {
    let budget = RetryBudget::new(100, 20);
    let mut attempts = 0;
    for _ in 0..10_000 {
        budget.deposit();
        let mut policy =
            RetryPolicy::new(RequestKind::Idempotent, DEADLINE, RetryLimits::default());
        attempts += 1;
        while attempts % 2 == 1
            && policy.on_event(FAILED, Millis(1), || budget.try_withdraw()) == NextStep::Retry
        {
            attempts += 1;
        }
    }
    assert!(attempts <= 10_000 + 1_000 + 20, "{attempts}");
    assert!(attempts >= 10_900, "{attempts}");
}

/// Many threads let requests of one customer in at the same time. If two could take the last place,
/// the bound would not hold just when it matters.
#[test]
fn the_bound_of_a_customer_holds_between_threads() {
    let limits = Arc::new(EntryLimits::default().updated([("a".into(), 10)]));
    let enter = |limits: Arc<EntryLimits>| {
        move || (0..100).filter_map(|_| limits.try_acquire("a").ok()).collect::<Vec<_>>()
    };
    let threads: Vec<_> = (0..4).map(|_| thread::spawn(enter(Arc::clone(&limits)))).collect();
    let permits: Vec<_> = threads.into_iter().flat_map(|one| one.join().unwrap()).collect();
    assert_eq!((permits.len(), limits.in_flight("a")), (10, 10));
    let newer = limits.updated([("a".into(), 11)]);
    let last = newer.try_acquire("a").unwrap();
    assert_eq!(newer.try_acquire("a").unwrap_err(), ResultCode::CustomerLimit);
    drop((permits, last));
    assert_eq!(limits.in_flight("a"), 0);
}

/// Two codes with one number, or a number that moved, would tell callers the wrong thing.
#[test]
fn result_codes_are_distinct_and_complete() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    for code in ResultCode::ALL {
        assert!((200..=599).contains(&code.http_status()), "{code}");
        assert_eq!(code.meaning().starts_with("Not run:"), code.is_not_run(), "{code}");
        assert!(code.advice().ends_with('.'), "{code}");
    }
}
