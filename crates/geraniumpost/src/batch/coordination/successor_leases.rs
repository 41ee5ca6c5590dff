use arc_swap::ArcSwap;
use geraniumpost_batch::PredecessorLeases;

/// What a successor has to know of leases, as the decisions last told it.
///
/// The decisions end with their term, before the key is written for the last time.
#[derive(Debug)]
pub struct SuccessorLeases(ArcSwap<Snapshot>);

#[derive(Debug)]
struct Snapshot {
    leases: PredecessorLeases,
    /// When it was told, on the boot clock.
    recorded_ms: u64,
}

impl SuccessorLeases {
    /// Returns what holds from a time on the boot clock on, until something else is told.
    pub fn new(leases: PredecessorLeases, recorded_ms: u64) -> Self {
        Self(ArcSwap::from_pointee(Snapshot { leases, recorded_ms }))
    }

    /// Takes note of what holds at a time on the boot clock.
    pub fn set(&self, leases: PredecessorLeases, recorded_ms: u64) {
        self.0.store(Snapshot { leases, recorded_ms }.into());
    }

    /// Returns what is left of it at a time on the boot clock.
    pub fn at(&self, now_ms: u64) -> PredecessorLeases {
        let snapshot = self.0.load();
        snapshot.leases.clone().aged_by(now_ms.saturating_sub(snapshot.recorded_ms))
    }
}
