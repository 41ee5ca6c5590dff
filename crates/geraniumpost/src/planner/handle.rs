use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::Question;
use crate::console::{ApiCode, ApiError, AuthenticatedJobCall, JobsHandle, forward};
use crate::entry::EntryContext;

/// Longest wait for the planner's answer. A commit takes milliseconds; one that is not through by
/// then may still take effect, and the caller repeats the call, which does no harm.
const PATIENCE: Duration = Duration::from_secs(6);

/// Returns the way to the region's planner, here or on another entry.
pub(super) fn jobs_handle(
    cx: Arc<EntryContext>,
    questions: mpsc::UnboundedSender<Question>,
) -> JobsHandle {
    Arc::new(move |ask| Box::pin(answer(Arc::clone(&cx), questions.clone(), ask)))
}

async fn answer(
    cx: Arc<EntryContext>,
    questions: mpsc::UnboundedSender<Question>,
    ask: AuthenticatedJobCall,
) -> Result<Value, ApiError> {
    if cx.term() > 0 {
        return ask_here(&questions, ask).await;
    }
    let planner = cx.peers().planner(cx.clock.now());
    match planner {
        Some((_, address)) => forward(address, &cx.me.name, &ask).await,
        None => Err(ApiCode::NoPlanner.into()),
    }
}

async fn ask_here(
    questions: &mpsc::UnboundedSender<Question>,
    ask: AuthenticatedJobCall,
) -> Result<Value, ApiError> {
    let (tx, rx) = oneshot::channel();
    let question = Question { call: ask.call, answer: tx };
    if questions.send(question).is_err() {
        return Err(ApiCode::NoPlanner.into());
    }
    match timeout(PATIENCE, rx).await {
        Ok(Ok(answer)) => answer,
        // The planner was dropped with the question, which may have been recorded before.
        Ok(Err(_)) | Err(_) => Err(ApiCode::Unknown.into()),
    }
}
