//! What ran and what did not, by an agent's record.

mod requests_support;

use std::collections::{HashMap, HashSet};

use geraniumpost_core::Millis;
use geraniumpost_core::requests::{Admission, AskReply, AttemptLedger, LedgerLimits};
use geraniumpost_schema::{Name, RequestId};
use proptest::prelude::*;
use requests_support::id;

const OWN: u64 = 7;

#[derive(Debug, Clone, Copy)]
enum Step {
    Admit { id: u64, key: u64 },
    Start { id: u64 },
    NotRun { id: u64 },
    Finish { id: u64 },
    Ask { id: u64, incarnation: u64 },
    AskKey { id: u64, key: u64 },
}

fn step(ids: u64) -> impl Strategy<Value = Step> {
    let ask = (0..ids, prop_oneof![9 => Just(OWN), 1 => Just(OWN + 1)]);
    prop_oneof![
        4 => (0..ids, 0..6u64).prop_map(|(id, key)| Step::Admit { id, key }),
        3 => (0..ids).prop_map(|id| Step::Start { id }),
        1 => (0..ids).prop_map(|id| Step::NotRun { id }),
        3 => (0..ids).prop_map(|id| Step::Finish { id }),
        2 => ask.prop_map(|(id, incarnation)| Step::Ask { id, incarnation }),
        1 => (ids..2 * ids, 1..6u64).prop_map(|(id, key)| Step::AskKey { id, key }),
    ]
}

/// Key 0 stands for a request without one.
fn key_name(key: u64) -> Name {
    if key == 0 { Name::default() } else { Name::from(format!("k{key}")) }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Barred,
    Queued,
    Running,
    Finished,
    Joined(u64),
}

/// A record without bounds, which looks through all attempts for each answer.
#[derive(Debug, Default)]
struct Twin {
    attempts: Vec<(u64, State)>,
    keys: Vec<(u64, u64)>,
}

impl Twin {
    fn state(&self, id: u64) -> Option<State> {
        self.attempts.iter().find(|one| one.0 == id).map(|one| one.1)
    }

    fn set(&mut self, id: u64, state: State) {
        self.attempts.retain(|one| one.0 != id);
        self.attempts.push((id, state));
    }

    fn first(&self, key: u64) -> Option<u64> {
        self.keys.iter().find(|one| one.0 == key).map(|one| one.1)
    }

    fn joined(&self, first: u64) -> HashSet<RequestId> {
        let waits = |one: &&(u64, State)| one.1 == State::Joined(first);
        self.attempts.iter().filter(waits).map(|one| id(one.0)).collect()
    }

    fn admit(&mut self, number: u64, key: u64) -> Admission<u64> {
        match self.state(number) {
            Some(State::Barred) => return Admission::Barred,
            Some(_) => return Admission::Duplicate,
            None => {}
        }
        if let Some(first) = self.first(key) {
            return self.join(number, first);
        }
        self.set(number, State::Queued);
        self.enter(key, number);
        Admission::Queue
    }

    fn enter(&mut self, key: u64, number: u64) {
        if key > 0 {
            self.keys.push((key, number));
        }
    }

    fn join(&mut self, number: u64, first: u64) -> Admission<u64> {
        if self.state(number).is_none() {
            self.set(number, State::Joined(first));
        }
        match self.state(first) {
            Some(State::Barred) => Admission::Barred,
            Some(State::Finished) => Admission::Replay(first),
            _ => Admission::Join(id(first)),
        }
    }

    fn ask(&mut self, number: u64) -> AskReply<u64> {
        match self.state(number) {
            None => self.set(number, State::Barred),
            Some(State::Queued) => {
                self.set(number, State::Barred);
                return AskReply::NeverStarted { joined: sorted(self.joined(number)) };
            }
            Some(State::Joined(first)) => return self.reply(first),
            Some(_) => return self.reply(number),
        }
        AskReply::NeverStarted { joined: Vec::new() }
    }

    fn reply(&self, number: u64) -> AskReply<u64> {
        match self.state(number) {
            Some(State::Finished) => AskReply::Finished(number),
            Some(State::Barred) => AskReply::NeverStarted { joined: Vec::new() },
            _ => AskReply::Running,
        }
    }

    fn ask_key(&mut self, number: u64, key: u64) -> AskReply<u64> {
        if let Some(first) = self.first(key) {
            return match self.join(number, first) {
                Admission::Barred => AskReply::NeverStarted { joined: Vec::new() },
                Admission::Replay(answer) => AskReply::Finished(answer),
                _ => AskReply::Running,
            };
        }
        if self.state(number).is_some() {
            return AskReply::Unknown;
        }
        self.set(number, State::Barred);
        self.enter(key, number);
        AskReply::NeverStarted { joined: Vec::new() }
    }
}

fn sorted(ids: impl IntoIterator<Item = RequestId>) -> Vec<RequestId> {
    let mut ids: Vec<RequestId> = ids.into_iter().collect();
    ids.sort();
    ids
}

fn in_order(reply: AskReply<u64>) -> AskReply<u64> {
    match reply {
        AskReply::NeverStarted { joined } => AskReply::NeverStarted { joined: sorted(joined) },
        other => other,
    }
}

proptest! {
    #[test]
    fn knows_what_an_unbounded_record_knows(steps in prop::collection::vec(step(12), 1..200)) {
        let mut ledger = AttemptLedger::<u64>::new(OWN, LedgerLimits::default());
        let mut twin = Twin::default();
        let now = Millis(0);
        for step in steps {
            match step {
                Step::Admit { id: n, key } => {
                    prop_assert_eq!(ledger.admit(id(n), &key_name(key), now), twin.admit(n, key));
                }
                Step::Start { id: n } => {
                    let waits = twin.state(n) == Some(State::Queued);
                    prop_assert_eq!(ledger.start(id(n)), waits);
                    if waits {
                        twin.set(n, State::Running);
                    }
                }
                Step::NotRun { id: n } => {
                    let joined = ledger.mark_not_run(id(n));
                    if twin.state(n) == Some(State::Queued) {
                        twin.set(n, State::Barred);
                        prop_assert_eq!(sorted(joined), sorted(twin.joined(n)));
                    }
                }
                Step::Finish { id: n } => {
                    let joined = ledger.finish(id(n), n, 1, now);
                    if twin.state(n) == Some(State::Running) {
                        twin.set(n, State::Finished);
                        prop_assert_eq!(sorted(joined), sorted(twin.joined(n)));
                    }
                }
                Step::Ask { id: n, incarnation } => {
                    let ours = in_order(ledger.ask(id(n), incarnation, now));
                    let theirs = if incarnation == OWN { twin.ask(n) } else { AskReply::Unknown };
                    prop_assert_eq!(ours, theirs);
                }
                Step::AskKey { id: n, key } => {
                    let ours = ledger.ask_key(id(n), &key_name(key), OWN, now);
                    prop_assert_eq!(in_order(ours), twin.ask_key(n, key));
                }
            }
        }
    }

    #[test]
    fn a_small_record_forgets_but_never_lies(steps in prop::collection::vec(step(40), 1..300)) {
        let limits = LedgerLimits::new().answers(2, 3, 50).records(4).keys(2, 100);
        let mut ledger = AttemptLedger::<u64>::new(OWN, limits);
        let (mut ran, mut barred) = (HashSet::new(), HashSet::new());
        let mut key_of: HashMap<u64, u64> = HashMap::new();
        for (at, step) in steps.into_iter().enumerate() {
            let now = Millis(at as u64);
            match step {
                Step::Admit { id: n, key } => match ledger.admit(id(n), &key_name(key), now) {
                    Admission::Queue => {
                        prop_assert!(!ran.contains(&n) && !barred.contains(&n));
                        let twice = key > 0 && ran.iter().any(|one| key_of.get(one) == Some(&key));
                        prop_assert!(!twice, "key {key} is to run a second time");
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
                Step::NotRun { id: n } => drop(ledger.mark_not_run(id(n))),
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
                    let reply = ledger.ask_key(id(n), &key_name(key), OWN, now);
                    if matches!(reply, AskReply::NeverStarted { .. }) {
                        let lied = ran.iter().any(|one| key_of.get(one) == Some(&key));
                        prop_assert!(!lied, "key {key} ran");
                    }
                }
            }
            let [_, answers, bytes, keys] = ledger.sizes();
            prop_assert!(answers <= 2 && bytes <= 3 && keys <= 6);
        }
    }
}

/// A badge print runs, and so many others follow that the agent forgets it. Then the entry, whose
/// link was lost, asks. "Never started" would print the badge a second time.
#[test]
fn a_forgotten_attempt_is_unknown_and_not_never_started() {
    let mut ledger = AttemptLedger::<u64>::new(OWN, LedgerLimits::new().records(4));
    let none = Name::default();
    for n in 1..=10 {
        assert_eq!(ledger.admit(id(n), &none, Millis(0)), Admission::Queue);
        assert!(ledger.start(id(n)));
        ledger.finish(id(n), n, 1, Millis(0));
    }
    assert_eq!(ledger.ask(id(1), OWN, Millis(0)), AskReply::Unknown);
    assert_eq!(ledger.admit(id(1), &none, Millis(0)), Admission::Forgotten);
    assert_eq!(ledger.ask(id(10), OWN, Millis(0)), AskReply::Finished(10));
    assert_eq!(ledger.sizes()[0], 4);
}

/// The agent was killed while it printed and has come back. It knows nothing, and nothing it says
/// about the time before may pass for knowledge.
#[test]
fn a_restarted_agent_knows_nothing_of_before() {
    let mut ledger = AttemptLedger::<u64>::new(OWN, LedgerLimits::default());
    assert_eq!(ledger.ask(id(1), OWN - 1, Millis(0)), AskReply::Unknown);
    assert_eq!(ledger.ask_key(id(2), &key_name(1), OWN - 1, Millis(0)), AskReply::Unknown);
}

/// A request is refused for want of room, and its entry moves the key's claim to another agent. A
/// repeat, sent here under the old claim, arrives late. If it ran, both agents would print.
#[test]
fn a_refused_key_never_runs_here() {
    let mut ledger = AttemptLedger::<u64>::new(OWN, LedgerLimits::default());
    let key = key_name(1);
    assert_eq!(ledger.admit(id(1), &key, Millis(0)), Admission::Queue);
    assert_eq!(ledger.admit(id(2), &key, Millis(0)), Admission::Join(id(1)));
    assert_eq!(ledger.mark_not_run(id(1)), [id(2)]);
    assert_eq!(ledger.admit(id(3), &key, Millis(0)), Admission::Barred);
    assert!(!ledger.start(id(3)));
}

/// A repeat asks by key before the first request has arrived; its entry then moves the claim. The
/// first request comes after all and must not run.
#[test]
fn a_key_that_was_asked_for_never_runs_here() {
    let mut ledger = AttemptLedger::<u64>::new(OWN, LedgerLimits::default());
    let reply = ledger.ask_key(id(2), &key_name(1), OWN, Millis(0));
    assert_eq!(reply, AskReply::NeverStarted { joined: Vec::new() });
    assert_eq!(ledger.admit(id(1), &key_name(1), Millis(0)), Admission::Barred);
}

/// Runs one request under each key, so that a ledger of small bounds lets the oldest go.
fn ledger_with_keys(limits: LedgerLimits, keys: u64) -> AttemptLedger<u64> {
    let mut ledger = AttemptLedger::new(OWN, limits);
    for n in 1..=keys {
        assert_eq!(ledger.admit(id(n), &key_name(n), Millis(0)), Admission::Queue);
        assert!(ledger.start(id(n)));
        ledger.finish(id(n), n, 1, Millis(0));
    }
    ledger
}

/// A kiosk repeats a badge print hours later, and its entry sends it to the agent that ran it. The
/// agent has many newer keys, and must still know that this one came.
#[test]
fn a_key_of_long_ago_does_not_run_again() {
    let mut ledger = ledger_with_keys(LedgerLimits::new().keys(2, 10), 6);
    assert_eq!(ledger.admit(id(9), &key_name(1), Millis(0)), Admission::Forgotten);
    assert!(!ledger.start(id(9)));
    assert_eq!(ledger.ask(id(9), OWN, Millis(0)), AskReply::Unknown);
    assert_eq!(ledger.ask_key(id(10), &key_name(2), OWN, Millis(0)), AskReply::Unknown);
    assert_eq!(ledger.admit(id(11), &key_name(7), Millis(0)), Admission::Queue);
}

/// The agent has forgotten keys altogether, and a repeat asks for one it does not know. It may be
/// one of those forgotten, which ran.
#[test]
fn an_unknown_key_may_be_a_forgotten_one() {
    let mut ledger = ledger_with_keys(LedgerLimits::new().keys(2, 0), 3);
    assert_eq!(ledger.ask_key(id(9), &key_name(1), OWN, Millis(0)), AskReply::Unknown);
    assert_eq!(ledger.ask_key(id(9), &key_name(3), OWN, Millis(0)), AskReply::Finished(3));
}

/// Large answers come fast. Kept without a bound they would cost the agent its memory and its life,
/// and all its requests would end as "outcome unknown".
#[test]
fn answers_are_kept_within_bytes_and_time() {
    let limits = LedgerLimits::new().answers(100, 1_000, 500);
    let mut ledger = AttemptLedger::<u64>::new(OWN, limits);
    for n in 1..=3 {
        let _ = ledger.admit(id(n), &key_name(n), Millis(0));
        assert!(ledger.start(id(n)));
        ledger.finish(id(n), n, 400, Millis(n));
    }
    assert_eq!(ledger.sizes()[2], 800);
    assert_eq!(ledger.ask(id(1), OWN, Millis(4)), AskReply::AnswerLost);
    assert_eq!(ledger.admit(id(9), &key_name(2), Millis(4)), Admission::Replay(2));
    assert_eq!(ledger.admit(id(10), &key_name(3), Millis(600)), Admission::AnswerLost);
}
