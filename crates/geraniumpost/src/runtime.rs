use eyre::{Result, WrapErr};
use tokio::runtime::{Builder, Runtime};

/// Number of worker threads of an entry or agent. Entry VMs are small and an agent may use only a
/// few percent of its VM, so more threads would only cost memory.
const WORKER_THREADS: usize = 4;

/// Starts the runtime of an entry or agent.
///
/// # Errors
///
/// Fails if the threads cannot be started.
pub fn start() -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(WORKER_THREADS).enable_all().build().wrap_err("cannot start threads")
}

/// Number of worker threads of a role that may use only a small share of a processor.
const SMALL_WORKER_THREADS: usize = 2;

/// Starts the runtime of a role that may use only a small share of a processor.
///
/// # Errors
///
/// Fails if the threads cannot be started.
pub fn start_small() -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(SMALL_WORKER_THREADS)
        .enable_all()
        .build()
        .wrap_err("cannot start threads")
}
