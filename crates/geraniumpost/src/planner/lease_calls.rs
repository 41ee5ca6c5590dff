//! Store calls of the planner lease. At most one is in flight at a time.

use std::time::Duration;

use geraniumpost_core::jobs::{LeaseAction, LeaseEvent, alive_key, term_key};
use geraniumpost_outside::{Expect, Store, StoreError};
use geraniumpost_schema::Name;
use tokio::sync::mpsc;

use super::StoreAnswer;
use super::store_calls::expect;

/// Makes the store call of an action and sends its outcome to `answers`.
pub(super) fn make(
    store: &Store,
    answers: &mpsc::UnboundedSender<StoreAnswer>,
    region: &Name,
    action: LeaseAction,
) {
    let (store, answers, region) = (store.clone(), answers.clone(), region.clone());
    tokio::spawn(async move {
        let event = call(&store, &region, action).await.unwrap_or_else(|error| {
            spdlog::debug!("store call of the planner lease failed: {error}");
            Some(LeaseEvent::CallFailed)
        });
        if let Some(event) = event {
            let _ = answers.send(StoreAnswer::Lease(event));
        }
    });
}

async fn call(
    store: &Store,
    region: &Name,
    action: LeaseAction,
) -> Result<Option<LeaseEvent>, StoreError> {
    let event = match action {
        LeaseAction::ReadAlive => {
            let found = store.get(&alive_key(region)).await?;
            LeaseEvent::AliveRead(found.map(|found| found.value.to_vec()))
        }
        LeaseAction::ReadTerm => {
            let found = store.get(&term_key(region)).await?;
            LeaseEvent::TermRead(found.map(|found| (found.revision, found.value.to_vec())))
        }
        LeaseAction::Grant { ttl_ms } => {
            LeaseEvent::Granted(store.grant(Duration::from_millis(ttl_ms)).await?.into())
        }
        LeaseAction::Claim { lease, value } => {
            let key = alive_key(region);
            let put = store.put(&key, value, Expect::Absent, Some(lease.into())).await;
            LeaseEvent::Claimed(written(put)?.is_some())
        }
        LeaseAction::WriteTerm { expected, record } => {
            let value = serde_json::to_vec(&record).unwrap_or_default();
            let put = store.put(&term_key(region), value, expect(expected), None).await;
            LeaseEvent::TermWritten(written(put)?)
        }
        LeaseAction::KeepAlive { lease } => match store.keep_alive(lease.into()).await {
            Ok(()) => LeaseEvent::KeptAlive(true),
            Err(StoreError::LeaseGone) => LeaseEvent::KeptAlive(false),
            Err(error) => return Err(error),
        },
        LeaseAction::Revoke { lease } => {
            // A lease that cannot be revoked expires after its duration.
            let _ = store.revoke(lease.into()).await;
            return Ok(None);
        }
        LeaseAction::Acquired(_) | LeaseAction::Lost(_) => return Ok(None),
    };
    Ok(Some(event))
}

/// Returns the new revision, or `None` if the condition of the write was not met.
fn written(put: Result<u64, StoreError>) -> Result<Option<u64>, StoreError> {
    match put {
        Ok(revision) => Ok(Some(revision)),
        Err(StoreError::Conflict { .. } | StoreError::LeaseGone) => Ok(None),
        Err(error) => Err(error),
    }
}
