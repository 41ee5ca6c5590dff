//! Store calls of the planner. Each runs in its own asynchronous task and sends its outcome to the
//! planner.

use bytes::Bytes;
use geraniumpost_core::jobs::PlannerEvent;
use geraniumpost_outside::{Expect, Store, StoreError};
use tokio::sync::mpsc;

use super::StoreAnswer;

/// Writes a bucket if its stored revision is `expected`.
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
                spdlog::warn!("commit of {key} failed or has an unknown outcome: {error}");
                PlannerEvent::CommitUnknown { bucket }
            }
        };
        // Cannot fail, because the planner's task ends only with the process.
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
                spdlog::warn!("cannot read {key}: {error}");
                PlannerEvent::ReadFailed { bucket }
            }
        };
        let _ = answers.send(StoreAnswer::Planner(term, event));
    });
}

/// Returns the condition that a key has the given revision, or does not exist if there is none.
pub(super) fn expect(revision: Option<u64>) -> Expect {
    revision.map_or(Expect::Absent, Expect::Revision)
}
