//! What a coordinator's key holds.

use geraniumpost::batch::coordination::CoordinatorRecord;
use geraniumpost_batch::{Inheritance, Silent};

fn record() -> CoordinatorRecord {
    CoordinatorRecord {
        node: "entry-1".into(),
        address: ([10, 0, 0, 1], 7160).into(),
        incarnation: 11,
        term: 7,
        barrier: 2,
        vacant: true,
        inheritance: Inheritance::default(),
    }
}

/// What a coordinator leaves behind is read by its successor as it was written.
#[test]
fn inheritance_is_read_as_it_was_written() {
    let mut record = record();
    let silent = Silent { term: 6, lasts_ms: 13_400 };
    record.inheritance.silent.insert(([10, 0, 0, 2], 7160).into(), silent);
    record.inheritance.unreached.insert("agent-3".into(), 800);
    assert_eq!(CoordinatorRecord::decode(&record.encode()), Ok(record));
}

/// During a rolling upgrade the coordinator may be of a version that leaves nothing behind. Were its key
/// unreadable, its successor would take the term of a coordinator that is alive.
#[test]
fn record_without_inheritance_is_read() {
    let bytes = record().encode();
    let earlier = &bytes[..bytes.len() - 2];
    assert_eq!(CoordinatorRecord::decode(earlier), Ok(record()));
}

/// Bytes of another layout name no coordinator.
#[test]
fn other_bytes_are_no_record() {
    assert!(CoordinatorRecord::decode(&[1]).is_err());
}
