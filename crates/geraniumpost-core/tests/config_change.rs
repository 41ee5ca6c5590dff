//! Operators' changes against a store that loses replies, delays writes and goes down.

use std::collections::VecDeque;

use assert_matches::assert_matches;
use geraniumpost_core::config::{
    Change, ChangeAction, ChangeEvent, ChangeOutcome, ChangeProtocol, StoredDocument,
};
use geraniumpost_schema::Name;
use proptest::prelude::*;
use serde_json::json;

/// How the store treats one call.
#[derive(Debug, Clone, Copy)]
enum Treatment {
    /// Answers.
    Answer,
    /// Takes the call and loses the reply.
    LoseReply,
    /// Loses the call; a write takes effect some calls later.
    Delay,
    /// Is down and says so.
    Down,
}

/// The naive twin: a log of all writes that took effect, in their order.
#[derive(Default)]
struct NaiveStore {
    log: Vec<(u64, StoredDocument)>,
    clock: u64,
    delayed: VecDeque<(u64, u64, StoredDocument)>,
}

impl NaiveStore {
    fn revision(&self) -> u64 {
        self.log.last().map_or(0, |(revision, _)| *revision)
    }

    fn write(&mut self, expected: u64, value: StoredDocument) -> Option<u64> {
        // Revisions are those of the whole store, so they leap.
        self.clock += 3;
        (self.revision() == expected).then(|| {
            self.log.push((self.clock, value));
            self.clock
        })
    }

    fn land(&mut self, all: bool) {
        while let Some((calls, expected, value)) = self.delayed.pop_front() {
            if calls > 0 && !all {
                self.delayed.push_front((calls - 1, expected, value));
                return;
            }
            self.write(expected, value);
        }
    }

    fn call(&mut self, action: &ChangeAction, treatment: Treatment) -> ChangeEvent {
        self.land(false);
        let event = match (action, treatment) {
            (_, Treatment::Down) => return ChangeEvent::Failed,
            (ChangeAction::Write { expected, value }, Treatment::Delay) => {
                self.delayed.push_back((2, *expected, value.clone()));
                return ChangeEvent::Lost;
            }
            (ChangeAction::Write { expected, value }, _) => self
                .write(*expected, value.clone())
                .map_or(ChangeEvent::Conflict, ChangeEvent::Written),
            _ => ChangeEvent::Read(self.log.last().cloned()),
        };
        if matches!(treatment, Treatment::LoseReply | Treatment::Delay) {
            return ChangeEvent::Lost;
        }
        event
    }

    /// Returns the revisions that a change became; more than one would be a doubled change.
    fn became(&self, change_id: &Name) -> Vec<u64> {
        let own = self.log.iter().filter(|(_, value)| value.change_id() == *change_id);
        own.map(|(revision, _)| *revision).collect()
    }
}

/// One operator's change under way.
struct Operator {
    change: Change,
    protocol: ChangeProtocol,
    next: ChangeAction,
}

impl Operator {
    fn new(number: usize, based_on: u64) -> Self {
        let change = Change {
            change_id: Name::from(format!("change-{number}")),
            changed_by: Name::from(if number.is_multiple_of(2) { "rosa" } else { "luis" }),
            based_on,
            document: json!({ "policy": { "hold_ms": number } }),
        };
        let mut protocol = ChangeProtocol::new(change.clone());
        let next = protocol.begin();
        Self { change, protocol, next }
    }

    fn step(&mut self, store: &mut NaiveStore, treatment: Treatment) -> Option<ChangeOutcome> {
        let event = store.call(&self.next, treatment);
        self.next = self.protocol.handle(event);
        match &self.next {
            ChangeAction::Done(outcome) => Some(outcome.clone()),
            _ => None,
        }
    }
}

fn treatments() -> impl Strategy<Value = Vec<(bool, Treatment)>> {
    let treatment = prop_oneof![
        5 => Just(Treatment::Answer),
        2 => Just(Treatment::LoseReply),
        2 => Just(Treatment::Delay),
        2 => Just(Treatment::Down),
    ];
    prop::collection::vec((any::<bool>(), treatment), 0..120)
}

/// Two operators change the document at once while replies are lost, writes land late and the store
/// goes down. An operator who is told "committed" for a change that is not there, or "conflict" for
/// one that is, would overwrite a colleague or believe in a limit that nobody honours.
fn told_the_truth(steps: Vec<(bool, Treatment)>) -> Result<(), TestCaseError> {
    let mut store = NaiveStore::default();
    let mut told: Vec<(Name, ChangeOutcome)> = Vec::new();
    let mut operators: [Option<Operator>; 2] = [None, None];
    let mut number = 0;
    for (who, treatment) in steps {
        let slot = &mut operators[usize::from(who)];
        let operator = slot.get_or_insert_with(|| {
            number += 1;
            Operator::new(number, store.revision())
        });
        if let Some(outcome) = operator.step(&mut store, treatment) {
            told.push((operator.change.change_id.clone(), outcome));
            *slot = None;
        }
    }
    store.land(true);
    for (change_id, outcome) in told {
        let became = store.became(&change_id);
        match outcome {
            ChangeOutcome::Committed { revision } => prop_assert_eq!(became, vec![revision]),
            ChangeOutcome::Conflict { .. } | ChangeOutcome::Unavailable => {
                prop_assert!(became.is_empty(), "{change_id} was told as not written");
            }
            ChangeOutcome::Uncertain => prop_assert!(became.len() <= 1),
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]
    #[test]
    fn every_operator_is_told_the_truth(steps in treatments()) {
        told_the_truth(steps)?;
    }
}

/// Runs one change against a store that treats its calls as listed and answers the rest.
fn run(store: &mut NaiveStore, operator: &mut Operator, treatments: &[Treatment]) -> ChangeOutcome {
    let mut treatments = treatments.iter().copied();
    loop {
        let treatment = treatments.next().unwrap_or(Treatment::Answer);
        if let Some(outcome) = operator.step(store, treatment) {
            return outcome;
        }
    }
}

/// Names cases of one lone change: the treatments of its calls and what the operator is told.
macro_rules! lone {
    ($($name:ident: [$($treatment:ident),*] => $outcome:pat, $written:literal;)*) => {
        $(#[test]
        fn $name() {
            let mut store = NaiveStore::default();
            let mut operator = Operator::new(1, 0);
            let outcome = run(&mut store, &mut operator, &[$(Treatment::$treatment),*]);
            store.land(true);
            assert_matches!(outcome, $outcome);
            assert_eq!(store.log.len(), $written);
        })*
    };
}

lone! {
    written_at_once: [Answer, Answer] => ChangeOutcome::Committed { revision: 3 }, 1;
    reply_lost_after_the_write: [Answer, LoseReply] => ChangeOutcome::Committed { revision: 3 }, 1;
    write_lands_late: [Answer, Delay, Answer, Answer] => ChangeOutcome::Committed { revision: 3 }, 1;
    store_down_throughout: [Down, Down, Down, Down, Down, Down, Down, Down]
        => ChangeOutcome::Unavailable, 0;
    store_down_after_a_lost_reply: [Answer, LoseReply, Down, Down, Down, Down, Down, Down]
        => ChangeOutcome::Uncertain, 1;
}

/// The reply of the first write is lost, and before it is read back a colleague has already built
/// on it. Told "conflict", the first operator would apply the change a second time.
#[test]
fn a_lost_reply_is_settled_after_a_colleagues_change() {
    let mut store = NaiveStore::default();
    let mut first = Operator::new(1, 0);
    assert_eq!(first.step(&mut store, Treatment::Answer), None);
    assert_eq!(first.step(&mut store, Treatment::LoseReply), None);
    let mut second = Operator::new(2, store.revision());
    assert_matches!(run(&mut store, &mut second, &[]), ChangeOutcome::Committed { revision: 6 });
    assert_matches!(run(&mut store, &mut first, &[]), ChangeOutcome::Committed { revision: 3 });
}

/// Two operators edit the same revision; the second must learn who was first and what they changed.
#[test]
fn a_conflict_tells_who_changed_what() {
    let mut store = NaiveStore::default();
    run(&mut store, &mut Operator::new(1, 0), &[]);
    let base = store.revision();
    let mut late = Operator::new(3, base);
    run(&mut store, &mut Operator::new(2, base), &[]);
    let outcome = run(&mut store, &mut late, &[]);
    let ChangeOutcome::Conflict { revision, changes } = outcome else { panic!("{outcome:?}") };
    assert_eq!(revision, store.revision());
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].changed_by.as_str(), "rosa");
    assert_eq!(changes[0].paths, [Name::from("policy.hold_ms")]);
}

/// An operator whose reply was lost altogether repeats the call through another entry.
#[test]
fn a_repeat_under_the_same_id_is_not_a_second_change() {
    let mut store = NaiveStore::default();
    run(&mut store, &mut Operator::new(1, 0), &[]);
    let outcome = run(&mut store, &mut Operator::new(1, 0), &[]);
    assert_matches!(outcome, ChangeOutcome::Committed { revision: 3 });
    assert_eq!(store.log.len(), 1);
}

#[test]
fn an_old_revision_is_a_conflict_for_a_days_changes_and_uncertain_after() {
    let mut store = NaiveStore::default();
    for number in 1..=300 {
        let revision = store.revision();
        run(&mut store, &mut Operator::new(number, revision), &[]);
    }
    let outcome = run(&mut store, &mut Operator::new(999, 0), &[]);
    assert_matches!(outcome, ChangeOutcome::Conflict { changes, .. } if changes.len() == 300);
    let revision = store.revision();
    run(&mut store, &mut Operator::new(301, revision), &[]);
    assert_matches!(run(&mut store, &mut Operator::new(999, 0), &[]), ChangeOutcome::Uncertain);
    let size = serde_json::to_vec(&store.log.last().unwrap().1).unwrap().len();
    assert!(size < 100_000, "the list of changes takes {size} bytes of the store's megabyte");
}
