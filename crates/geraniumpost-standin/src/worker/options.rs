use std::path::PathBuf;

use super::Resources;

/// Options of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerOptions {
    /// Name in the record.
    pub name: String,
    /// Capacity of the VM; a start that exceeds it is recorded as overfilled.
    pub capacity: Resources,
    /// Delay of the reported usage, in milliseconds.
    pub usage_lag_ms: u64,
    /// File to which the record is also written.
    pub record: Option<PathBuf>,
}

impl Default for WorkerOptions {
    fn default() -> Self {
        let capacity = Resources { milli_cpus: 64_000, memory_mb: 250_000, accelerators: 0 };
        Self { name: "worker".to_owned(), capacity, usage_lag_ms: 500, record: None }
    }
}
