//! Tasks beside the minion: orders from the planner on their way to the worker.
//!
//! One task owns the VM's ledger; the calls it asks for are made by others, one at a time for each
//! job, so that a stop never overtakes the start it is for.

mod call_queue;
mod driver;
mod task_event;
mod task_figures;
mod task_order;
mod worker_calls;

pub use task_event::TaskEvent;
pub use task_figures::TaskFigures;
pub use task_order::TaskOrder;

use std::sync::Arc;

use geraniumpost_outside::Worker;
use tokio::sync::mpsc;

use call_queue::CallQueue;

use super::AgentContext;

/// Starts the task that keeps the VM's ledger, if there is a worker.
pub fn start(cx: &Arc<AgentContext>, orders: mpsc::UnboundedReceiver<TaskEvent>) {
    if let Some(address) = cx.settings.worker {
        tokio::spawn(driver::run(Arc::clone(cx), Worker::new(address), orders));
    }
}
