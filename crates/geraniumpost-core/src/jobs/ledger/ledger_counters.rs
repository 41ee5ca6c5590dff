/// What a [`VmLedger`](super::VmLedger) refused or noticed, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LedgerCounters {
    /// Orders under a term below the highest seen.
    pub stale_terms: u64,
    /// Starts of an epoch already known.
    pub stale_epochs: u64,
    /// Starts that came without a valid hold under their term.
    pub without_hold: u64,
    /// Starts that did not fit.
    pub too_large: u64,
    /// Tasks stopped because the hold lapsed.
    pub lapsed: u64,
    /// Tasks found at the worker and adopted.
    pub adopted: u64,
    /// Tasks that the worker no longer knew.
    pub vanished: u64,
}
