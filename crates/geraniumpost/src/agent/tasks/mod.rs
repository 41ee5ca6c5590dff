//! Tasks beside the minion: orders from the planner on their way to the worker.

mod task_event;
mod task_figures;
mod task_order;

pub use task_event::TaskEvent;
pub use task_figures::TaskFigures;
pub use task_order::TaskOrder;

use std::sync::Arc;

use tokio::sync::mpsc;

use super::AgentContext;

/// Starts the task that keeps the VM's ledger, if there is a worker.
pub fn start(_cx: &Arc<AgentContext>, _orders: mpsc::UnboundedReceiver<TaskEvent>) {}
