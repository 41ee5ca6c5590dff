//! Results that an entry reports to a caller, compared with the attempts that have run; limits on
//! retries and on customers.

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

/// Whether an attempt runs, which the entry cannot observe directly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// The attempt was not sent, was refused or was barred.
    NeverRuns,
    /// The attempt runs or has run.
    Runs,
    /// The message with the attempt is in transit: the attempt runs unless a query bars it first.
    InTransit,
}

/// Fate of an attempt, and random numbers: each pair selects an event and the milliseconds before
/// it.
type Attempt = (Fate, Vec<(u8, u16)>);

fn attempt() -> impl Strategy<Value = Attempt> {
    let fate = prop_oneof![Just(Fate::NeverRuns), Just(Fate::Runs), Just(Fate::InTransit)];
    (fate, prop::collection::vec((any::<u8>(), 0..300u16), 12))
}

fn outcome_event(outcome: Outcome) -> AttemptEvent {
    AttemptEvent::Outcome { outcome, retry_after_ms: 7 }
}

/// Events that an entry may observe for an attempt with the fate `fate` after the action `step`.
fn possible_events(fate: Fate, step: NextStep) -> Vec<AttemptEvent> {
    let mut events = vec![AttemptEvent::LinkLost, AttemptEvent::LinkUnresponsive];
    events.extend([outcome_event(Outcome::Unknown), AttemptEvent::DeadlinePassed { sent: true }]);
    if matches!(step, NextStep::Ask { .. }) {
        let unknown = AttemptEvent::Verdict(AskVerdict::Unknown);
        events.extend([AttemptEvent::AskFailed, AttemptEvent::AgentRestarted, unknown]);
    }
    match (fate, step) {
        (Fate::NeverRuns, NextStep::Retry) => events.extend([
            AttemptEvent::NeverSent,
            AttemptEvent::NoAgent,
            AttemptEvent::DeadlinePassed { sent: false },
        ]),
        (Fate::Runs, NextStep::Ask { .. }) => {
            let verdicts = [AskVerdict::Running, AskVerdict::Finished];
            events.extend(verdicts.map(AttemptEvent::Verdict));
        }
        (Fate::NeverRuns | Fate::InTransit, NextStep::Ask { .. }) => {
            events.push(AttemptEvent::Verdict(AskVerdict::NeverStarted));
        }
        _ => {}
    }
    match fate {
        Fate::NeverRuns => events.extend(
            [
                Outcome::NotRunOverloaded,
                Outcome::NotRunDeadline,
                Outcome::NotRunDraining,
                Outcome::NotRunBarred,
                Outcome::NotRunUnreachable,
                Outcome::NotRunUnknownService,
            ]
            .map(outcome_event),
        ),
        Fate::Runs => events.extend(
            [Outcome::Answered, Outcome::RunFailed, Outcome::RunTruncated, Outcome::RunTimedOut]
                .map(outcome_event),
        ),
        Fate::InTransit => {}
    }
    events
}

/// Result of one simulated request: the last step, how many attempts were made, how many of these
/// may have run, and how often the retry budget was asked.
#[derive(Debug)]
struct RequestOutcome {
    last: NextStep,
    may_have_run: u32,
    attempts: u32,
    budget_calls: u32,
}

/// Passes events of the attempts to `decide` until it returns a final step. The budget allows
/// `budget_limit` retries.
fn simulate(
    attempts: &[Attempt],
    budget_limit: u32,
    mut decide: impl FnMut(AttemptEvent, Millis, &mut dyn FnMut() -> bool) -> NextStep,
) -> RequestOutcome {
    let mut end =
        RequestOutcome { last: NextStep::Retry, may_have_run: 0, attempts: 0, budget_calls: 0 };
    let mut now = Millis(0);
    for (fate, random_choices) in attempts {
        end.attempts += 1;
        let mut fate = *fate;
        let mut step = NextStep::Retry;
        for &(random, ms) in random_choices {
            now = now.plus(u64::from(ms));
            let events = possible_events(fate, step);
            let event = events[random as usize % events.len()];
            if event == AttemptEvent::Verdict(AskVerdict::NeverStarted) {
                fate = Fate::NeverRuns;
            }
            step = decide(event, now, &mut || {
                end.budget_calls += 1;
                end.budget_calls <= budget_limit
            });
            if matches!(step, NextStep::Retry | NextStep::Deliver | NextStep::Answer { .. }) {
                break;
            }
        }
        end.may_have_run += u32::from(fate != Fate::NeverRuns);
        end.last = step;
        if step != NextStep::Retry {
            break;
        }
    }
    end
}

fn request_kind() -> impl Strategy<Value = RequestKind> {
    prop_oneof![Just(RequestKind::Idempotent), Just(RequestKind::Once), Just(RequestKind::Keyed)]
}

/// Returns a description of the guarantee that the outcome violates, if any.
fn violated_guarantee(kind: RequestKind, end: &RequestOutcome) -> Option<&'static str> {
    if kind != RequestKind::Idempotent && end.may_have_run > 1 {
        return Some("ran twice");
    }
    match end.last {
        NextStep::Answer { code, .. } if code.is_not_run() && end.may_have_run > 0 => {
            Some("reported not run after a possible run")
        }
        NextStep::Answer { code, retry_after_ms: 0 } if code.is_not_run() => {
            Some("gave no retry delay")
        }
        NextStep::Retry => Some("gave no final answer"),
        _ => None,
    }
}

proptest! {
    #[test]
    fn never_runs_twice_or_reports_a_false_not_run(
        kind in request_kind(),
        budget_limit in 0..5u32,
        attempts in prop::collection::vec(attempt(), 6),
    ) {
        let mut policy = RetryPolicy::new(kind, DEADLINE, RetryLimits::default());
        let end = simulate(
            &attempts,
            budget_limit,
            |event, now, budget| policy.on_event(event, now, budget),
        );
        prop_assert_eq!(violated_guarantee(kind, &end), None, "{:?}", end);
        prop_assert!(end.attempts <= 4);
    }
}

/// Control: a policy that retries after any failure violates the guarantees in the same model.
#[test]
fn a_naive_policy_violates_the_guarantees() {
    let naive = |event, _, _: &mut dyn FnMut() -> bool| match event {
        AttemptEvent::Outcome { outcome: Outcome::Answered, .. } => NextStep::Deliver,
        AttemptEvent::DeadlinePassed { .. } => {
            NextStep::Answer { code: ResultCode::DeadlineTooShort, retry_after_ms: 1 }
        }
        _ => NextStep::Retry,
    };
    let lost = (Fate::Runs, vec![(0, 1); 12]);
    let late = (Fate::Runs, vec![(3, 1); 12]);
    let end = simulate(&[lost.clone(), lost], 9, naive);
    assert_eq!(violated_guarantee(RequestKind::Once, &end), Some("ran twice"));
    let end = simulate(&[late], 9, naive);
    assert_eq!(
        violated_guarantee(RequestKind::Once, &end),
        Some("reported not run after a possible run")
    );
}

/// Returns the action after the last of `events`, with an unlimited budget.
fn last_step(kind: RequestKind, events: &[AttemptEvent]) -> NextStep {
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
    assert_eq!(last_step(kind, events), expected);
}

const NEVER_STARTED: AttemptEvent = AttemptEvent::Verdict(AskVerdict::NeverStarted);
const RUNNING: AttemptEvent = AttemptEvent::Verdict(AskVerdict::Running);
const LINK_LOST: AttemptEvent = AttemptEvent::LinkLost;
const OVERLOADED: AttemptEvent =
    AttemptEvent::Outcome { outcome: Outcome::NotRunOverloaded, retry_after_ms: 30 };
const FAILED: AttemptEvent =
    AttemptEvent::Outcome { outcome: Outcome::RunFailed, retry_after_ms: 0 };

cases! { check_steps;
    a_badge_print_is_not_repeated_after_a_lost_link:
        RequestKind::Once, &[LINK_LOST], NextStep::Ask { after_ms: 0 };
    a_barred_badge_print_is_retried_on_another_agent:
        RequestKind::Once, &[LINK_LOST, NEVER_STARTED], NextStep::Retry;
    a_running_badge_print_is_awaited: RequestKind::Once, &[LINK_LOST, RUNNING], NextStep::Wait;
    a_restarted_agent_leaves_the_outcome_unknown:
        RequestKind::Once, &[LINK_LOST, AttemptEvent::AgentRestarted],
        answer(ResultCode::OutcomeUnknown, 0);
    an_agent_that_cannot_be_queried_leaves_the_outcome_unknown:
        RequestKind::Once,
        &[LINK_LOST, AttemptEvent::AskFailed, AttemptEvent::AskFailed, AttemptEvent::AskFailed],
        answer(ResultCode::OutcomeUnknown, 0);
    a_failed_badge_print_is_not_repeated:
        RequestKind::Once, &[FAILED], answer(ResultCode::MinionFailed, 0);
    a_refusal_after_a_lost_attempt_is_not_reported_as_not_run:
        RequestKind::Idempotent, &[LINK_LOST, AttemptEvent::NoAgent],
        answer(ResultCode::OutcomeUnknown, 1_000);
    a_refusal_after_a_failed_attempt_is_not_reported_as_not_run:
        RequestKind::Idempotent, &[FAILED, AttemptEvent::NoAgent],
        answer(ResultCode::MinionFailed, 1_000);
    a_match_is_retried_after_a_lost_link: RequestKind::Idempotent, &[LINK_LOST], NextStep::Retry;
    a_refusal_for_overload_is_retried_on_another_agent:
        RequestKind::Once, &[OVERLOADED], NextStep::Retry;
    overload_of_all_agents_reports_the_shortest_retry_delay:
        RequestKind::Once, &[OVERLOADED, OVERLOADED, OVERLOADED, OVERLOADED],
        answer(ResultCode::Overloaded, 30);
    a_refusal_by_the_agent_itself_resolves_the_outcome:
        RequestKind::Once, &[LINK_LOST, OVERLOADED, OVERLOADED, OVERLOADED, OVERLOADED],
        answer(ResultCode::Overloaded, 30);
    an_unsent_keyed_request_is_queried_before_its_claim_moves:
        RequestKind::Keyed, &[AttemptEvent::NeverSent], NextStep::Ask { after_ms: 0 };
    a_deadline_before_sending_is_not_run:
        RequestKind::Once, &[AttemptEvent::DeadlinePassed { sent: false }],
        answer(ResultCode::DeadlineTooShort, 1_000);
    a_deadline_after_sending_is_unknown:
        RequestKind::Once, &[OVERLOADED, AttemptEvent::DeadlinePassed { sent: true }],
        answer(ResultCode::OutcomeUnknown, 0);
    a_deadline_while_it_runs_is_a_timeout:
        RequestKind::Once, &[LINK_LOST, RUNNING, AttemptEvent::DeadlinePassed { sent: true }],
        answer(ResultCode::TimedOut, 0);
}

/// The budget is exhausted because many agents fail at once. An idempotent request whose link was
/// lost is not sent again, but its agent may still have the answer, so it is queried.
#[test]
fn without_budget_a_lost_request_is_queried() {
    let mut policy = RetryPolicy::new(RequestKind::Idempotent, DEADLINE, RetryLimits::default());
    assert_eq!(policy.on_event(LINK_LOST, Millis(1), || false), NextStep::Ask { after_ms: 0 });
    let unknown = AttemptEvent::Verdict(AskVerdict::Unknown);
    let end = policy.on_event(unknown, Millis(1), || false);
    assert_eq!(end, answer(ResultCode::OutcomeUnknown, 1_000));
}

/// Half of all attempts fail. Without a budget, each request would be sent up to four times, and
/// the load would nearly double while minions are failing.
#[test]
fn retries_remain_within_the_budget() {
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

/// Many threads admit requests of one customer concurrently. If two of them could take the last
/// permit, the limit would be exceeded under load.
#[test]
fn the_limit_of_a_customer_holds_across_threads() {
    let limits = Arc::new(EntryLimits::default().updated([("a".into(), 10)]));
    let acquire_all = |limits: Arc<EntryLimits>| {
        move || (0..100).filter_map(|_| limits.try_acquire("a").ok()).collect::<Vec<_>>()
    };
    let threads: Vec<_> = (0..4).map(|_| thread::spawn(acquire_all(Arc::clone(&limits)))).collect();
    let permits: Vec<_> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    assert_eq!((permits.len(), limits.in_flight("a")), (10, 10));
    let newer = limits.updated([("a".into(), 11)]);
    let last = newer.try_acquire("a").unwrap();
    assert_eq!(newer.try_acquire("a").unwrap_err(), ResultCode::CustomerLimit);
    drop((permits, last));
    assert_eq!(limits.in_flight("a"), 0);
}

/// Callers interpret the numbers of result codes, which must be distinct. Each code has a valid
/// HTTP status, a meaning that says whether the request did not run, and advice in a whole
/// sentence.
#[test]
fn result_codes_are_distinct_and_described() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    for code in ResultCode::ALL {
        assert!((200..=599).contains(&code.http_status()), "{code}");
        assert_eq!(code.meaning().starts_with("Not run:"), code.is_not_run(), "{code}");
        assert!(code.advice().ends_with('.'), "{code}");
    }
}
