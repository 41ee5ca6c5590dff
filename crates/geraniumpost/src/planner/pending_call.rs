use serde_json::Value;
use tokio::sync::oneshot;

use crate::console::{ApiError, JobCall};

/// Call on jobs that waits for the planner's answer.
#[derive(Debug)]
pub(super) struct PendingCall {
    /// The call.
    pub(super) call: JobCall,
    /// Receives the answer; dropped without an answer if this entry stops planning.
    pub(super) answer: oneshot::Sender<Result<Value, ApiError>>,
}
