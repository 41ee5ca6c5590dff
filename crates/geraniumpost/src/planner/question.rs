use serde_json::Value;
use tokio::sync::oneshot;

use crate::console::{ApiError, JobCall};

/// A call on jobs on its way to the planner.
#[derive(Debug)]
pub(super) struct Question {
    /// The call.
    pub(super) call: JobCall,
    /// Where the answer goes; dropped if this entry doesn't plan after all.
    pub(super) answer: oneshot::Sender<Result<Value, ApiError>>,
}
