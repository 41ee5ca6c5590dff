//! The region's planner: one entry holds the lease and turns jobs into tasks.
//!
//! One task owns the lease and, while this entry plans, the planner; everything else sends it
//! messages. Decisions are in `geraniumpost_core::jobs`, see `docs/design/0202-planner-and-holds.md`.

mod agent_links;
mod calls;
mod decisions;
mod driver;
mod handle;
mod input;
mod lease_calls;
mod predecessors;
mod question;
mod store_answer;
mod store_calls;
mod summary;

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use agent_links::AgentLinks;
use decisions::DecisionLog;
pub use input::PlannerInput;
use question::Question;
use store_answer::StoreAnswer;

use crate::console::JobsHandle;
use crate::entry::EntryContext;

/// Starts the planner of an entry and returns the way to it for calls on jobs.
pub fn start(
    cx: &Arc<EntryContext>,
    inputs: mpsc::UnboundedReceiver<PlannerInput>,
    stop: watch::Receiver<bool>,
) -> JobsHandle {
    let (questions_tx, questions) = mpsc::unbounded_channel();
    tokio::spawn(driver::run(Arc::clone(cx), inputs, questions, stop));
    handle::jobs_handle(Arc::clone(cx), questions_tx)
}
