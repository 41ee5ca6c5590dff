//! Planner of a region: the entry that holds the planner lease places the region's jobs.
//!
//! One asynchronous task owns the lease and, while this entry plans, the planner. All other tasks
//! send messages to it. The decisions are made in `geraniumpost_core::jobs`, see
//! `docs/design/0202-planner-and-holds.md`.

mod agent_links;
mod calls;
mod decisions;
mod driver;
mod handle;
mod input;
mod lease_calls;
mod pending_call;
mod predecessors;
mod store_answer;
mod store_calls;
mod summary;

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use agent_links::AgentLinks;
use decisions::DecisionLog;
pub use input::PlannerInput;
use pending_call::PendingCall;
use store_answer::StoreAnswer;

use crate::console::JobsHandle;
use crate::entry::EntryContext;

/// Starts the planner task of an entry and returns the handle for calls on jobs.
pub fn start(
    cx: &Arc<EntryContext>,
    inputs: mpsc::UnboundedReceiver<PlannerInput>,
    stop: watch::Receiver<bool>,
) -> JobsHandle {
    let (calls_tx, calls) = mpsc::unbounded_channel();
    tokio::spawn(driver::run(Arc::clone(cx), inputs, calls, stop));
    handle::jobs_handle(Arc::clone(cx), calls_tx)
}
