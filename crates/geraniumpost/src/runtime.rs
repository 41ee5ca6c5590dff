use eyre::{Result, WrapErr};
use tokio::runtime::{Builder, Runtime};

/// Threads that carry requests. An entry VM is small and an agent must stay below a few percent of
/// its VM, so more threads would only cost memory.
const THREADS: usize = 4;

/// Starts the runtime of a long-running role.
///
/// # Errors
///
/// Fails if the threads cannot be started.
pub fn start() -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(THREADS).enable_all().build().wrap_err("starting threads")
}

/// Threads of a role that shares its VM with an endpoint, or has a small part of a processor.
const FEW_THREADS: usize = 2;

/// Starts the runtime of a role that has a small part of a processor.
///
/// # Errors
///
/// Fails if the threads cannot be started.
pub fn start_small() -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(FEW_THREADS).enable_all().build().wrap_err("starting threads")
}
