/// Times that govern a [`VmLedger`](super::VmLedger), in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerConfig {
    /// Lease under which the worker runs a task; the worker ends the task when it lapses.
    pub worker_lease_ms: u64,
    /// Interval between lists of the worker's tasks.
    pub list_ms: u64,
    /// Interval at which unsettled final reports are repeated.
    pub repeat_ms: u64,
    /// Interval of reports with usage of running tasks.
    pub usage_ms: u64,
    /// Shortest time between the two lists of an adoption. A start sent by the agent's previous
    /// process may reach the worker within it.
    pub settle_ms: u64,
    /// Longest time that a call to the worker is open.
    pub call_timeout_ms: u64,
    /// Interval of checkpoints of a running task: the most work that the loss of its VM costs.
    pub checkpoint_ms: u64,
    /// How long the epoch of a settled run is remembered, so that a delayed order for it is refused.
    pub epoch_retention_ms: u64,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        Self {
            worker_lease_ms: 6_000,
            list_ms: 1_000,
            repeat_ms: 1_000,
            usage_ms: 10_000,
            settle_ms: 1_000,
            call_timeout_ms: 10_000,
            checkpoint_ms: 120_000,
            epoch_retention_ms: 600_000,
        }
    }
}
