/// Events counted by a [`VmLedger`](super::VmLedger), for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LedgerCounters {
    /// Orders and lease grants of a term below the highest term received.
    pub stale_terms: u64,
    /// Start orders for an epoch that is already known.
    pub stale_epochs: u64,
    /// Start orders received without a valid lease of their term.
    pub without_lease: u64,
    /// Start orders refused because the VM lacked the resources.
    pub too_large: u64,
    /// Tasks stopped because the agent lease expired.
    pub lease_expired: u64,
    /// Tasks in the worker's list that were unknown and were adopted, as after an agent restart.
    pub adopted: u64,
    /// Live tasks that ended because they were missing from the worker's list.
    pub vanished: u64,
}
