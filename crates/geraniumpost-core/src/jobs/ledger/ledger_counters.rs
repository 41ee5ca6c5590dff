/// Events counted by a [`VmLedger`](super::VmLedger), for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LedgerCounters {
    /// Orders under a term below the highest one seen.
    pub stale_terms: u64,
    /// Start orders for an epoch that is already known.
    pub stale_epochs: u64,
    /// Start orders received without a valid lease of their term.
    pub without_lease: u64,
    /// Start orders refused because the VM lacked the resources.
    pub too_large: u64,
    /// Tasks stopped because the agent lease expired.
    pub lease_expired: u64,
    /// Tasks adopted from the worker's list.
    pub adopted: u64,
    /// Tasks missing from the worker's list.
    pub vanished: u64,
}
