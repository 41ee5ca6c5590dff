//! The region's planner: one entry holds the lease and turns jobs into tasks.

mod input;

pub use input::PlannerInput;

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use crate::console::{ApiCode, JobsHandle};
use crate::entry::EntryContext;

/// Starts the planner of an entry and returns the way to it for calls on jobs.
pub fn start(
    _cx: &Arc<EntryContext>,
    _inputs: mpsc::UnboundedReceiver<PlannerInput>,
    _stop: watch::Receiver<bool>,
) -> JobsHandle {
    Arc::new(|_| Box::pin(async { Err(ApiCode::NoPlanner.into()) }))
}
