use std::path::PathBuf;

use super::Resources;

/// What a worker is and has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerOptions {
    /// Name in the record.
    pub name: String,
    /// Capacity of the whole VM; a start beyond it is recorded as overfilled.
    pub capacity: Resources,
    /// How late reported usage is, in milliseconds.
    pub usage_lag_ms: u64,
    /// File that also receives the record.
    pub record: Option<PathBuf>,
}

impl Default for WorkerOptions {
    fn default() -> Self {
        let capacity = Resources { milli_cpus: 64_000, memory_mb: 250_000, accelerators: 0 };
        Self { name: "worker".to_owned(), capacity, usage_lag_ms: 500, record: None }
    }
}
