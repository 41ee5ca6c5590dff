//! Replies of the attempt ledger of an agent, compared with the attempts that have run.

mod requests_support;

use std::collections::{HashMap, HashSet};

use geraniumpost_core::Millis;
use geraniumpost_core::requests::{Admission, AskReply, AttemptLedger, LedgerLimits};
use geraniumpost_schema::{Name, RequestId};
use proptest::prelude::*;
use requests_support::id;

const OWN_INCARNATION: u64 = 7;

#[derive(Debug, Clone, Copy)]
enum Step {
    Admit { id: u64, key: u64 },
    Start { id: u64 },
    MarkNotRun { id: u64 },
    Finish { id: u64 },
    Ask { id: u64, incarnation: u64 },
    AskKey { id: u64, key: u64 },
}

fn step(ids: u64) -> impl Strategy<Value = Step> {
    let ask = (0..ids, prop_oneof![9 => Just(OWN_INCARNATION), 1 => Just(OWN_INCARNATION + 1)]);
    prop_oneof![
        4 => (0..ids, 0..6u64).prop_map(|(id, key)| Step::Admit { id, key }),
        3 => (0..ids).prop_map(|id| Step::Start { id }),
        1 => (0..ids).prop_map(|id| Step::MarkNotRun { id }),
        3 => (0..ids).prop_map(|id| Step::Finish { id }),
        2 => ask.prop_map(|(id, incarnation)| Step::Ask { id, incarnation }),
        1 => (ids..2 * ids, 1..6u64).prop_map(|(id, key)| Step::AskKey { id, key }),
    ]
}

/// Returns the idempotency key with number `key`, empty for 0.
fn key_name(key: u64) -> Name {
    if key == 0 { Name::default() } else { Name::from(format!("k{key}")) }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    Barred,
    Queued,
    Running,
    Finished,
    Joined(u64),
}

/// Reference ledger without limits, which searches all attempts for each reply.
#[derive(Debug, Default)]
struct ReferenceLedger {
    attempts: Vec<(u64, AttemptState)>,
    keys: Vec<(u64, u64)>,
}

impl ReferenceLedger {
    fn state(&self, id: u64) -> Option<AttemptState> {
        self.attempts.iter().find(|record| record.0 == id).map(|record| record.1)
    }

    fn set(&mut self, id: u64, state: AttemptState) {
        self.attempts.retain(|record| record.0 != id);
        self.attempts.push((id, state));
    }

    fn first_attempt_with_key(&self, key: u64) -> Option<u64> {
        self.keys.iter().find(|record| record.0 == key).map(|record| record.1)
    }

    fn joined(&self, first: u64) -> HashSet<RequestId> {
        let is_waiting = |record: &&(u64, AttemptState)| record.1 == AttemptState::Joined(first);
        self.attempts.iter().filter(is_waiting).map(|record| id(record.0)).collect()
    }

    fn admit(&mut self, number: u64, key: u64) -> Admission<u64> {
        match self.state(number) {
            Some(AttemptState::Barred) => return Admission::Barred,
            Some(_) => return Admission::Duplicate,
            None => {}
        }
        if let Some(first) = self.first_attempt_with_key(key) {
            return self.join(number, first);
        }
        self.set(number, AttemptState::Queued);
        self.index_key(key, number);
        Admission::Queue
    }

    fn index_key(&mut self, key: u64, number: u64) {
        if key > 0 {
            self.keys.push((key, number));
        }
    }

    fn join(&mut self, number: u64, first: u64) -> Admission<u64> {
        if self.state(number).is_none() {
            self.set(number, AttemptState::Joined(first));
        }
        match self.state(first) {
            Some(AttemptState::Barred) => Admission::Barred,
            Some(AttemptState::Finished) => Admission::Replay(first),
            _ => Admission::Join(id(first)),
        }
    }

    fn ask(&mut self, number: u64) -> AskReply<u64> {
        match self.state(number) {
            None => self.set(number, AttemptState::Barred),
            Some(AttemptState::Queued) => {
                self.set(number, AttemptState::Barred);
                return AskReply::NeverStarted { joined: sorted(self.joined(number)) };
            }
            Some(AttemptState::Joined(first)) => return self.reply_about(first),
            Some(_) => return self.reply_about(number),
        }
        AskReply::NeverStarted { joined: Vec::new() }
    }

    fn reply_about(&self, number: u64) -> AskReply<u64> {
        match self.state(number) {
            Some(AttemptState::Finished) => AskReply::Finished(number),
            Some(AttemptState::Barred) => AskReply::NeverStarted { joined: Vec::new() },
            _ => AskReply::Running,
        }
    }

    fn ask_key(&mut self, number: u64, key: u64) -> AskReply<u64> {
        if let Some(first) = self.first_attempt_with_key(key) {
            return match self.join(number, first) {
                Admission::Barred => AskReply::NeverStarted { joined: Vec::new() },
                Admission::Replay(answer) => AskReply::Finished(answer),
                _ => AskReply::Running,
            };
        }
        if self.state(number).is_some() {
            return AskReply::Unknown;
        }
        self.set(number, AttemptState::Barred);
        self.index_key(key, number);
        AskReply::NeverStarted { joined: Vec::new() }
    }
}

fn sorted(ids: impl IntoIterator<Item = RequestId>) -> Vec<RequestId> {
    let mut ids: Vec<RequestId> = ids.into_iter().collect();
    ids.sort();
    ids
}

fn with_sorted_ids(reply: AskReply<u64>) -> AskReply<u64> {
    match reply {
        AskReply::NeverStarted { joined } => AskReply::NeverStarted { joined: sorted(joined) },
        other => other,
    }
}

proptest! {
    #[test]
    fn matches_an_unbounded_reference_ledger(steps in prop::collection::vec(step(12), 1..200)) {
        let mut ledger = AttemptLedger::<u64>::new(OWN_INCARNATION, LedgerLimits::default());
        let mut reference = ReferenceLedger::default();
        let now = Millis(0);
        for step in steps {
            match step {
                Step::Admit { id: n, key } => {
                    prop_assert_eq!(
                        ledger.admit(id(n), &key_name(key), now),
                        reference.admit(n, key)
                    );
                }
                Step::Start { id: n } => {
                    let is_waiting = reference.state(n) == Some(AttemptState::Queued);
                    prop_assert_eq!(ledger.start(id(n)), is_waiting);
                    if is_waiting {
                        reference.set(n, AttemptState::Running);
                    }
                }
                Step::MarkNotRun { id: n } => {
                    let joined = ledger.mark_not_run(id(n));
                    if reference.state(n) == Some(AttemptState::Queued) {
                        reference.set(n, AttemptState::Barred);
                        prop_assert_eq!(sorted(joined), sorted(reference.joined(n)));
                    }
                }
                Step::Finish { id: n } => {
                    let joined = ledger.finish(id(n), n, 1, now);
                    if reference.state(n) == Some(AttemptState::Running) {
                        reference.set(n, AttemptState::Finished);
                        prop_assert_eq!(sorted(joined), sorted(reference.joined(n)));
                    }
                }
                Step::Ask { id: n, incarnation } => {
                    let actual = with_sorted_ids(ledger.ask(id(n), incarnation, now));
                    let expected = if incarnation == OWN_INCARNATION {
                        reference.ask(n)
                    } else {
                        AskReply::Unknown
                    };
                    prop_assert_eq!(actual, expected);
                }
                Step::AskKey { id: n, key } => {
                    let actual = ledger.ask_key(id(n), &key_name(key), OWN_INCARNATION, now);
                    prop_assert_eq!(with_sorted_ids(actual), reference.ask_key(n, key));
                }
            }
        }
    }

    #[test]
    fn a_small_ledger_drops_records_but_never_answers_falsely(
        steps in prop::collection::vec(step(40), 1..300),
    ) {
        let limits = LedgerLimits::new().answers(2, 3, 50).records(4).keys(2, 100);
        let mut ledger = AttemptLedger::<u64>::new(OWN_INCARNATION, limits);
        let (mut ran, mut barred) = (HashSet::new(), HashSet::new());
        let mut key_of: HashMap<u64, u64> = HashMap::new();
        for (index, step) in steps.into_iter().enumerate() {
            let now = Millis(index as u64);
            match step {
                Step::Admit { id: n, key } => match ledger.admit(id(n), &key_name(key), now) {
                    Admission::Queue => {
                        prop_assert!(!ran.contains(&n) && !barred.contains(&n));
                        let runs_again =
                            key > 0 && ran.iter().any(|earlier| key_of.get(earlier) == Some(&key));
                        prop_assert!(!runs_again, "key {key} is to run a second time");
                        key_of.insert(n, key);
                    }
                    Admission::Replay(first) => prop_assert_eq!(key_of[&first], key),
                    _ => {}
                },
                Step::Start { id: n } => {
                    if ledger.start(id(n)) {
                        prop_assert!(ran.insert(n), "{n} started twice");
                        prop_assert!(!barred.contains(&n), "{n} started after it was barred");
                    }
                }
                Step::MarkNotRun { id: n } => drop(ledger.mark_not_run(id(n))),
                Step::Finish { id: n } => drop(ledger.finish(id(n), n, 1, now)),
                Step::Ask { id: n, incarnation } => match ledger.ask(id(n), incarnation, now) {
                    AskReply::NeverStarted { .. } => {
                        prop_assert!(!ran.contains(&n), "{n} ran");
                        barred.insert(n);
                    }
                    AskReply::Finished(first) => prop_assert!(ran.contains(&first)),
                    _ => {}
                },
                Step::AskKey { id: n, key } => {
                    let reply = ledger.ask_key(id(n), &key_name(key), OWN_INCARNATION, now);
                    if matches!(reply, AskReply::NeverStarted { .. }) {
                        let has_run = ran.iter().any(|earlier| key_of.get(earlier) == Some(&key));
                        prop_assert!(!has_run, "key {key} ran");
                    }
                }
            }
            let [_, answers, bytes, keys] = ledger.sizes();
            prop_assert!(answers <= 2 && bytes <= 3 && keys <= 6);
        }
    }
}

/// A badge print runs, and so many attempts follow that the ledger drops the record of the print.
/// If a query over a new link then got the reply "never started", the badge would be printed a
/// second time.
#[test]
fn a_dropped_attempt_is_unknown_and_not_never_started() {
    let mut ledger = AttemptLedger::<u64>::new(OWN_INCARNATION, LedgerLimits::new().records(4));
    let none = Name::default();
    for n in 1..=10 {
        assert_eq!(ledger.admit(id(n), &none, Millis(0)), Admission::Queue);
        assert!(ledger.start(id(n)));
        ledger.finish(id(n), n, 1, Millis(0));
    }
    assert_eq!(ledger.ask(id(1), OWN_INCARNATION, Millis(0)), AskReply::Unknown);
    assert_eq!(ledger.admit(id(1), &none, Millis(0)), Admission::Forgotten);
    assert_eq!(ledger.ask(id(10), OWN_INCARNATION, Millis(0)), AskReply::Finished(10));
    assert_eq!(ledger.sizes()[0], 4);
}

/// An agent that was killed during a print and restarted has no record of attempts before the
/// restart, and must not reply that they never started.
#[test]
fn a_restarted_agent_answers_unknown_for_its_predecessor() {
    let mut ledger = AttemptLedger::<u64>::new(OWN_INCARNATION, LedgerLimits::default());
    assert_eq!(ledger.ask(id(1), OWN_INCARNATION - 1, Millis(0)), AskReply::Unknown);
    assert_eq!(
        ledger.ask_key(id(2), &key_name(1), OWN_INCARNATION - 1, Millis(0)),
        AskReply::Unknown
    );
}

/// A request is refused for lack of capacity, and its entry moves the key claim to another agent.
/// If a late repeat sent to this agent under the old claim ran, both agents would print.
#[test]
fn a_refused_key_never_runs_on_this_agent() {
    let mut ledger = AttemptLedger::<u64>::new(OWN_INCARNATION, LedgerLimits::default());
    let key = key_name(1);
    assert_eq!(ledger.admit(id(1), &key, Millis(0)), Admission::Queue);
    assert_eq!(ledger.admit(id(2), &key, Millis(0)), Admission::Join(id(1)));
    assert_eq!(ledger.mark_not_run(id(1)), [id(2)]);
    assert_eq!(ledger.admit(id(3), &key, Millis(0)), Admission::Barred);
    assert!(!ledger.start(id(3)));
}

/// A repeat queries the key before the first request has arrived, and its entry then moves the key
/// claim to another agent. The first request must not run when it arrives.
#[test]
fn a_queried_key_never_runs_on_this_agent() {
    let mut ledger = AttemptLedger::<u64>::new(OWN_INCARNATION, LedgerLimits::default());
    let reply = ledger.ask_key(id(2), &key_name(1), OWN_INCARNATION, Millis(0));
    assert_eq!(reply, AskReply::NeverStarted { joined: Vec::new() });
    assert_eq!(ledger.admit(id(1), &key_name(1), Millis(0)), Admission::Barred);
}

/// Returns a ledger in which one request has run under each of the keys 1 to `keys`. With low
/// limits the ledger has dropped the oldest keys.
fn ledger_with_keys(limits: LedgerLimits, keys: u64) -> AttemptLedger<u64> {
    let mut ledger = AttemptLedger::new(OWN_INCARNATION, limits);
    for n in 1..=keys {
        assert_eq!(ledger.admit(id(n), &key_name(n), Millis(0)), Admission::Queue);
        assert!(ledger.start(id(n)));
        ledger.finish(id(n), n, 1, Millis(0));
    }
    ledger
}

/// A kiosk repeats a badge print hours later, and its entry sends the repeat to the agent that ran
/// the first request. The agent must still recognize the key, although it has recorded many newer
/// keys.
#[test]
fn an_expired_key_does_not_run_again() {
    let mut ledger = ledger_with_keys(LedgerLimits::new().keys(2, 10), 6);
    assert_eq!(ledger.admit(id(9), &key_name(1), Millis(0)), Admission::Forgotten);
    assert!(!ledger.start(id(9)));
    assert_eq!(ledger.ask(id(9), OWN_INCARNATION, Millis(0)), AskReply::Unknown);
    assert_eq!(ledger.ask_key(id(10), &key_name(2), OWN_INCARNATION, Millis(0)), AskReply::Unknown);
    assert_eq!(ledger.admit(id(11), &key_name(7), Millis(0)), Admission::Queue);
}

/// The ledger has dropped the digests of old keys as well. The request of a queried key that is
/// unknown may therefore have run.
#[test]
fn an_unknown_key_may_have_been_dropped() {
    let mut ledger = ledger_with_keys(LedgerLimits::new().keys(2, 0), 3);
    assert_eq!(ledger.ask_key(id(9), &key_name(1), OWN_INCARNATION, Millis(0)), AskReply::Unknown);
    assert_eq!(
        ledger.ask_key(id(9), &key_name(3), OWN_INCARNATION, Millis(0)),
        AskReply::Finished(3)
    );
}

/// Without a limit on kept answers, large answers would exhaust the memory of the agent, and all
/// its requests would end as "outcome unknown".
#[test]
fn answers_are_kept_within_limits_on_size_and_age() {
    let limits = LedgerLimits::new().answers(100, 1_000, 500);
    let mut ledger = AttemptLedger::<u64>::new(OWN_INCARNATION, limits);
    for n in 1..=3 {
        let _ = ledger.admit(id(n), &key_name(n), Millis(0));
        assert!(ledger.start(id(n)));
        ledger.finish(id(n), n, 400, Millis(n));
    }
    assert_eq!(ledger.sizes()[2], 800);
    assert_eq!(ledger.ask(id(1), OWN_INCARNATION, Millis(4)), AskReply::AnswerLost);
    assert_eq!(ledger.admit(id(9), &key_name(2), Millis(4)), Admission::Replay(2));
    assert_eq!(ledger.admit(id(10), &key_name(3), Millis(600)), Admission::AnswerLost);
}
