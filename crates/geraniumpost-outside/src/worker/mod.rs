//! Adapter to a worker's task interface.

mod client;
mod started;
mod task_order;
mod worker_error;
mod worker_task;

pub use client::Worker;
pub use started::Started;
pub use task_order::TaskOrder;
pub use worker_error::WorkerError;
pub use worker_task::WorkerTask;
