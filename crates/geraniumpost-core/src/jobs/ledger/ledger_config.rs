/// Times that govern a [`VmLedger`](super::VmLedger), in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerConfig {
    /// Lease under which the worker runs a task; the worker stops the task when it expires.
    pub worker_lease_ms: u64,
    /// Interval between requests for the worker's list of tasks.
    pub list_interval_ms: u64,
    /// Interval at which calls to the worker and final reports are repeated until they have taken
    /// effect.
    pub repeat_interval_ms: u64,
    /// Interval at which a running task and its usage are reported to the planner.
    pub usage_report_interval_ms: u64,
    /// Minimum time between the two lists of an adoption, and the longest time for which a call
    /// whose response was lost may still reach the worker.
    pub settle_ms: u64,
    /// Time after which a call to the worker without a response can no longer take effect.
    pub call_timeout_ms: u64,
    /// Interval between the checkpoints of a running task, which bounds the work lost with its VM.
    pub checkpoint_interval_ms: u64,
    /// How long the epoch of a settled run is kept, so that a delayed order for it is refused.
    pub epoch_retention_ms: u64,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        Self {
            worker_lease_ms: 6_000,
            list_interval_ms: 1_000,
            repeat_interval_ms: 1_000,
            usage_report_interval_ms: 10_000,
            settle_ms: 1_000,
            call_timeout_ms: 10_000,
            checkpoint_interval_ms: 120_000,
            epoch_retention_ms: 600_000,
        }
    }
}
