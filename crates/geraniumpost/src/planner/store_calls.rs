//! Store calls of the planner, each a task of its own that sends its outcome back.

use bytes::Bytes;
use geraniumpost_core::jobs::PlannerEvent;
use geraniumpost_outside::{Expect, Store, StoreError};
use tokio::sync::mpsc;

use super::StoreAnswer;

/// Writes a bucket.
pub(super) fn commit(
    store: &Store,
    answers: &mpsc::UnboundedSender<StoreAnswer>,
    (term, bucket): (u64, usize),
    key: String,
    expected: Option<u64>,
    value: Vec<u8>,
) {
    let (store, answers) = (store.clone(), answers.clone());
    tokio::spawn(async move {
        let event = match store.put(&key, Bytes::from(value), expect(expected), None).await {
            Ok(revision) => PlannerEvent::CommitDone { bucket, revision },
            Err(StoreError::Conflict { .. }) => PlannerEvent::CommitConflict { bucket },
            Err(error) => {
                spdlog::warn!("commit of {key}: {error}");
                PlannerEvent::CommitUnknown { bucket }
            }
        };
        // The planner's task ends only with the process.
        let _ = answers.send(StoreAnswer::Planner(term, event));
    });
}

/// Reads a bucket.
pub(super) fn read(
    store: &Store,
    answers: &mpsc::UnboundedSender<StoreAnswer>,
    (term, bucket): (u64, usize),
    key: String,
) {
    let (store, answers) = (store.clone(), answers.clone());
    tokio::spawn(async move {
        let event = match store.get(&key).await {
            Ok(found) => {
                let found = found.map(|found| (found.revision, found.value.to_vec()));
                PlannerEvent::ReadDone { bucket, found }
            }
            Err(error) => {
                spdlog::warn!("reading {key}: {error}");
                PlannerEvent::ReadFailed { bucket }
            }
        };
        let _ = answers.send(StoreAnswer::Planner(term, event));
    });
}

/// Returns the condition that a key still has a revision, or is still absent.
pub(super) fn expect(revision: Option<u64>) -> Expect {
    revision.map_or(Expect::Absent, Expect::Revision)
}
