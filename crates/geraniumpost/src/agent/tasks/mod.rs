//! Execution of the planner's orders for tasks on the worker.
//!
//! One asynchronous task owns the VM's ledger. The worker calls that the ledger requests are made
//! by further asynchronous tasks, one call at a time for each job, so that a stop cannot overtake
//! the start before it.

mod call_queue;
mod driver;
mod task_event;
mod task_order;
mod task_summary;
mod worker_calls;

pub use task_event::TaskEvent;
pub use task_order::TaskOrder;
pub use task_summary::TaskSummary;

use std::sync::Arc;

use geraniumpost_outside::Worker;
use tokio::sync::mpsc;

use call_queue::CallQueue;

use super::AgentContext;

/// Starts the asynchronous task that owns the VM's ledger, if the VM has a worker.
pub fn start(cx: &Arc<AgentContext>, events: mpsc::UnboundedReceiver<TaskEvent>) {
    if let Some(address) = cx.settings.worker {
        tokio::spawn(driver::run(Arc::clone(cx), Worker::new(address), events));
    }
}
