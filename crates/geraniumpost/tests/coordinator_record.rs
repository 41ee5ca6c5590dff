//! Tests of the encoding of the coordinator's record.

use std::collections::BTreeMap;

use geraniumpost::batch::coordination::CoordinatorRecord;
use geraniumpost_batch::quorum::Voters;
use geraniumpost_batch::{PredecessorLeases, SilentCoordinator};

fn record() -> CoordinatorRecord {
    CoordinatorRecord {
        node: "entry-1".into(),
        address: ([10, 0, 0, 1], 7160).into(),
        incarnation: 11,
        term: 7,
        barrier: 2,
        stepped_down: true,
        predecessor_leases: PredecessorLeases::default(),
        voters: BTreeMap::new(),
    }
}

fn voters() -> Voters {
    [("entry-2".into(), 22), ("entry-3".into(), 33)].into_iter().collect()
}

/// A successor must read the predecessor leases in the record, because it has to wait until they
/// have expired.
#[test]
fn predecessor_leases_round_trip() {
    let mut record = record();
    let silent = SilentCoordinator { term: 6, remaining_ms: 13_400 };
    record.predecessor_leases.silent.insert(([10, 0, 0, 2], 7160).into(), silent);
    record.predecessor_leases.unreached.insert("agent-3".into(), 800);
    assert_eq!(CoordinatorRecord::decode(&record.encode()), Ok(record));
}

/// During a rolling upgrade the coordinator may run a version that writes no predecessor leases. If
/// its record could not be decoded, another entry would take over although the coordinator is
/// running.
#[test]
fn record_without_predecessor_leases_is_decoded() {
    let bytes = record().encode();
    let earlier = &bytes[..bytes.len() - 3];
    assert_eq!(CoordinatorRecord::decode(earlier), Ok(record()));
}

/// During a rolling upgrade the coordinator may also run a version that writes predecessor leases
/// but no voters.
#[test]
fn record_without_voters_is_decoded() {
    let mut record = record();
    record.predecessor_leases.unreached.insert("agent-3".into(), 800);
    let bytes = record.encode();
    assert_eq!(CoordinatorRecord::decode(&bytes[..bytes.len() - 1]), Ok(record));
}

/// If a successor assumed other voters than its predecessor, it might conclude that the predecessor
/// can no longer extend leases although the predecessor still does.
#[test]
fn voters_round_trip() {
    let mut record = record();
    record.voters.insert(7, voters());
    let read = CoordinatorRecord::decode(&record.encode()).expect("this version wrote it");
    assert_eq!((read.voters_of(7), read.voters_of(6)), (voters(), Voters::default()));
}

/// Only the voters of the record's own term and of silent coordinators are kept. Otherwise the
/// record would grow with each term.
#[test]
fn voters_of_ended_terms_are_pruned() {
    let mut record = record();
    record
        .predecessor_leases
        .silent
        .insert(([10, 0, 0, 2], 7160).into(), SilentCoordinator { term: 5, remaining_ms: 9 });
    for term in 4..=7 {
        record.voters.insert(term, voters());
    }
    record.prune_voters();
    assert_eq!(record.voters.into_keys().collect::<Vec<_>>(), [5, 7]);
}

#[test]
fn bytes_of_another_layout_are_rejected() {
    assert!(CoordinatorRecord::decode(&[1]).is_err());
}
