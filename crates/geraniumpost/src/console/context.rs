use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use geraniumpost_outside::Store;
use geraniumpost_schema::Name;
use serde_json::Value;

use super::{ApiError, AuthenticatedJobCall};
use crate::config::ConfigUpdater;
use crate::metrics::Metrics;

/// Returns a part of the process's state as JSON.
pub type ValueHandle = Arc<dyn Fn() -> Value + Send + Sync>;

/// Sends a call on jobs to the region's planner, on this or another entry, and returns the answer.
pub type JobsHandle = Arc<
    dyn Fn(AuthenticatedJobCall) -> Pin<Box<dyn Future<Output = Result<Value, ApiError>> + Send>>
        + Send
        + Sync,
>;

/// State of the entry that the console uses.
#[derive(Clone)]
pub struct ConsoleContext {
    /// Name of the entry.
    pub name: Name,
    /// The configuration in force on this entry.
    pub config: Arc<ConfigUpdater>,
    /// The platform's key-value service.
    pub store: Store,
    /// Metrics that are served at `/metrics`.
    pub metrics: Arc<Metrics>,
    /// Token that authorizes writing the first document, see
    /// [`bootstrap_token`](super::bootstrap_token).
    pub bootstrap_token: String,
    /// Returns the state of entry, agents and jobs for `/api/status`.
    pub status: ValueHandle,
    /// Returns the revision in force on every known process for `/api/in-force`, as
    /// `[{"name": ..., "role": "entry" or "agent", "revision": ...}]`.
    pub in_force: ValueHandle,
    /// Sends a call to the planner.
    pub jobs: JobsHandle,
}

impl std::fmt::Debug for ConsoleContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConsoleContext").field("name", &self.name).finish_non_exhaustive()
    }
}
