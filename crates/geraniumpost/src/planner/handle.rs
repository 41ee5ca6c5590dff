use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::PendingCall;
use crate::console::{ApiCode, ApiError, AuthenticatedJobCall, JobsHandle, forward};
use crate::entry::EntryContext;

/// Timeout for the planner's answer. A commit usually takes milliseconds. After a timeout it may
/// still take effect; the caller may repeat the call, because calls are idempotent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// Returns the handle for calls to the region's planner, on this or on another entry.
pub(super) fn jobs_handle(
    cx: Arc<EntryContext>,
    calls: mpsc::UnboundedSender<PendingCall>,
) -> JobsHandle {
    Arc::new(move |call| Box::pin(route(Arc::clone(&cx), calls.clone(), call)))
}

async fn route(
    cx: Arc<EntryContext>,
    calls: mpsc::UnboundedSender<PendingCall>,
    call: AuthenticatedJobCall,
) -> Result<Value, ApiError> {
    if cx.term() > 0 {
        return call_own_planner(&calls, call).await;
    }
    let planner = cx.peers().planner(cx.clock.now());
    match planner {
        Some((_, address)) => forward(address, &cx.me.name, &call).await,
        None => Err(ApiCode::NoPlanner.into()),
    }
}

async fn call_own_planner(
    calls: &mpsc::UnboundedSender<PendingCall>,
    call: AuthenticatedJobCall,
) -> Result<Value, ApiError> {
    let (tx, rx) = oneshot::channel();
    let pending = PendingCall { call: call.call, answer: tx };
    if calls.send(pending).is_err() {
        return Err(ApiCode::NoPlanner.into());
    }
    match timeout(ANSWER_TIMEOUT, rx).await {
        Ok(Ok(answer)) => answer,
        // The planner was dropped before it answered; it may have committed the change.
        Ok(Err(_)) | Err(_) => Err(ApiCode::Unknown.into()),
    }
}
