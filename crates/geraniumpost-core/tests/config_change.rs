//! Operators' configuration changes while the store loses responses, delays writes and fails.

use std::collections::VecDeque;

use assert_matches::assert_matches;
use geraniumpost_core::config::{
    Change, ChangeAction, ChangeEvent, ChangeOutcome, ChangeProtocol, StoredDocument,
};
use geraniumpost_schema::Name;
use proptest::prelude::*;
use serde_json::json;

/// How the store handles one call.
#[derive(Debug, Clone, Copy)]
enum StoreMode {
    /// Performs the call and responds.
    Respond,
    /// Performs the call; the response is lost.
    LoseResponse,
    /// Sends no response; a write takes effect a few calls later.
    Delay,
    /// Refuses the call with an error.
    Fail,
}

/// Reference model of the store: a log of all writes that took effect, in order.
#[derive(Default)]
struct ReferenceStore {
    log: Vec<(u64, StoredDocument)>,
    last_revision: u64,
    /// Writes not yet performed: calls to wait for, expected revision, and value.
    delayed: VecDeque<(u64, u64, StoredDocument)>,
}

impl ReferenceStore {
    fn revision(&self) -> u64 {
        self.log.last().map_or(0, |(revision, _)| *revision)
    }

    fn write(&mut self, expected: u64, value: StoredDocument) -> Option<u64> {
        // Revisions count the writes of all keys, so the revisions of one key are not consecutive.
        self.last_revision += 3;
        (self.revision() == expected).then(|| {
            self.log.push((self.last_revision, value));
            self.last_revision
        })
    }

    fn apply_delayed(&mut self, all: bool) {
        while let Some((calls, expected, value)) = self.delayed.pop_front() {
            if calls > 0 && !all {
                self.delayed.push_front((calls - 1, expected, value));
                return;
            }
            self.write(expected, value);
        }
    }

    fn call(&mut self, action: &ChangeAction, mode: StoreMode) -> ChangeEvent {
        self.apply_delayed(false);
        let event = match (action, mode) {
            (_, StoreMode::Fail) => return ChangeEvent::Failed,
            (ChangeAction::Write { expected, value }, StoreMode::Delay) => {
                self.delayed.push_back((2, *expected, value.clone()));
                return ChangeEvent::Lost;
            }
            (ChangeAction::Write { expected, value }, _) => self
                .write(*expected, value.clone())
                .map_or(ChangeEvent::Conflict, ChangeEvent::Written),
            _ => ChangeEvent::Read(self.log.last().cloned()),
        };
        if matches!(mode, StoreMode::LoseResponse | StoreMode::Delay) {
            return ChangeEvent::Lost;
        }
        event
    }

    /// Returns the revisions created by writes of a change; more than one is a duplicated change.
    fn revisions_of(&self, change_id: &Name) -> Vec<u64> {
        let matching = self.log.iter().filter(|(_, value)| value.change_id() == *change_id);
        matching.map(|(revision, _)| *revision).collect()
    }
}

/// One operator's change in progress.
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

    fn step(&mut self, store: &mut ReferenceStore, mode: StoreMode) -> Option<ChangeOutcome> {
        let event = store.call(&self.next, mode);
        self.next = self.protocol.handle(event);
        match &self.next {
            ChangeAction::Done(outcome) => Some(outcome.clone()),
            _ => None,
        }
    }
}

fn operator_steps() -> impl Strategy<Value = Vec<(bool, StoreMode)>> {
    let mode = prop_oneof![
        5 => Just(StoreMode::Respond),
        2 => Just(StoreMode::LoseResponse),
        2 => Just(StoreMode::Delay),
        2 => Just(StoreMode::Fail),
    ];
    prop::collection::vec((any::<bool>(), mode), 0..120)
}

/// Two operators change the document at once while responses are lost, writes are delayed and the
/// store fails. An operator who received "committed" for a change that was not written would rely
/// on a limit that is not in force; an operator who received "conflict" for a written change would
/// overwrite another operator's.
fn check_reported_outcomes(steps: Vec<(bool, StoreMode)>) -> Result<(), TestCaseError> {
    let mut store = ReferenceStore::default();
    let mut reported: Vec<(Name, ChangeOutcome)> = Vec::new();
    let mut operators: [Option<Operator>; 2] = [None, None];
    let mut number = 0;
    for (second, mode) in steps {
        let slot = &mut operators[usize::from(second)];
        let operator = slot.get_or_insert_with(|| {
            number += 1;
            Operator::new(number, store.revision())
        });
        if let Some(outcome) = operator.step(&mut store, mode) {
            reported.push((operator.change.change_id.clone(), outcome));
            *slot = None;
        }
    }
    store.apply_delayed(true);
    for (change_id, outcome) in reported {
        let revisions = store.revisions_of(&change_id);
        match outcome {
            ChangeOutcome::Committed { revision } => prop_assert_eq!(revisions, vec![revision]),
            ChangeOutcome::Conflict { .. } | ChangeOutcome::Unavailable => {
                prop_assert!(revisions.is_empty(), "{change_id} was reported as not written");
            }
            ChangeOutcome::Uncertain => prop_assert!(revisions.len() <= 1),
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]
    #[test]
    fn reported_outcomes_match_the_store(steps in operator_steps()) {
        check_reported_outcomes(steps)?;
    }
}

/// Completes one change; the store handles the calls as listed, and further ones normally.
fn complete_change(
    store: &mut ReferenceStore,
    operator: &mut Operator,
    modes: &[StoreMode],
) -> ChangeOutcome {
    let mut modes = modes.iter().copied();
    loop {
        let mode = modes.next().unwrap_or(StoreMode::Respond);
        if let Some(outcome) = operator.step(store, mode) {
            return outcome;
        }
    }
}

/// Tests of a single change: the modes of its calls, its outcome, and the number of writes.
macro_rules! single_change_cases {
    ($($name:ident: [$($mode:ident),*] => $outcome:pat, $written:literal;)*) => {
        $(#[test]
        fn $name() {
            let mut store = ReferenceStore::default();
            let mut operator = Operator::new(1, 0);
            let outcome = complete_change(&mut store, &mut operator, &[$(StoreMode::$mode),*]);
            store.apply_delayed(true);
            assert_matches!(outcome, $outcome);
            assert_eq!(store.log.len(), $written);
        })*
    };
}

single_change_cases! {
    a_written_change_is_committed: [Respond, Respond]
        => ChangeOutcome::Committed { revision: 3 }, 1;
    a_change_with_a_lost_response_is_committed: [Respond, LoseResponse]
        => ChangeOutcome::Committed { revision: 3 }, 1;
    a_delayed_write_is_reported_as_committed: [Respond, Delay, Respond, Respond]
        => ChangeOutcome::Committed { revision: 3 }, 1;
    a_change_is_unavailable_if_the_store_is_down_throughout:
        [Fail, Fail, Fail, Fail, Fail, Fail, Fail, Fail]
        => ChangeOutcome::Unavailable, 0;
    a_change_is_uncertain_if_the_store_fails_after_a_lost_response:
        [Respond, LoseResponse, Fail, Fail, Fail, Fail, Fail, Fail]
        => ChangeOutcome::Uncertain, 1;
}

/// The response to the first write is lost, and before the document is read back another operator
/// has changed the document again. If a conflict were reported, the first operator would apply the
/// change a second time.
#[test]
fn a_lost_response_is_resolved_after_another_operators_change() {
    let mut store = ReferenceStore::default();
    let mut first = Operator::new(1, 0);
    assert_eq!(first.step(&mut store, StoreMode::Respond), None);
    assert_eq!(first.step(&mut store, StoreMode::LoseResponse), None);
    let mut second = Operator::new(2, store.revision());
    assert_matches!(
        complete_change(&mut store, &mut second, &[]),
        ChangeOutcome::Committed { revision: 6 }
    );
    assert_matches!(
        complete_change(&mut store, &mut first, &[]),
        ChangeOutcome::Committed { revision: 3 }
    );
}

/// Two operators edit the same revision. Without the name and the paths, the second could not
/// determine whose change to merge.
#[test]
fn a_conflict_names_the_other_operator_and_the_changed_paths() {
    let mut store = ReferenceStore::default();
    complete_change(&mut store, &mut Operator::new(1, 0), &[]);
    let base = store.revision();
    let mut late = Operator::new(3, base);
    complete_change(&mut store, &mut Operator::new(2, base), &[]);
    let outcome = complete_change(&mut store, &mut late, &[]);
    let ChangeOutcome::Conflict { revision, changes } = outcome else { panic!("{outcome:?}") };
    assert_eq!(revision, store.revision());
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].changed_by.as_str(), "rosa");
    assert_eq!(changes[0].paths, [Name::from("policy.hold_ms")]);
}

/// An operator receives no response at all and repeats the call through another entry. If the
/// change id were not compared, the change would be written twice.
#[test]
fn a_repeated_change_id_is_written_once() {
    let mut store = ReferenceStore::default();
    complete_change(&mut store, &mut Operator::new(1, 0), &[]);
    let outcome = complete_change(&mut store, &mut Operator::new(1, 0), &[]);
    assert_matches!(outcome, ChangeOutcome::Committed { revision: 3 });
    assert_eq!(store.log.len(), 1);
}

#[test]
fn a_change_based_on_an_old_revision_conflicts_for_300_changes_and_is_uncertain_after() {
    let mut store = ReferenceStore::default();
    for number in 1..=300 {
        let revision = store.revision();
        complete_change(&mut store, &mut Operator::new(number, revision), &[]);
    }
    let outcome = complete_change(&mut store, &mut Operator::new(999, 0), &[]);
    assert_matches!(outcome, ChangeOutcome::Conflict { changes, .. } if changes.len() == 300);
    let revision = store.revision();
    complete_change(&mut store, &mut Operator::new(301, revision), &[]);
    assert_matches!(
        complete_change(&mut store, &mut Operator::new(999, 0), &[]),
        ChangeOutcome::Uncertain
    );
    let size = serde_json::to_vec(&store.log.last().unwrap().1).unwrap().len();
    assert!(size < 100_000, "the list of changes takes {size} bytes of the store's megabyte");
}
