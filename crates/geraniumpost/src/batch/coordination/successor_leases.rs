use arc_swap::ArcSwap;
use geraniumpost_batch::PredecessorLeases;

/// Leases that a successor has to wait for, as last reported by the driver to the writer.
///
/// The writer writes the coordinator's key for the last time after the driver has ended, so the
/// last report is kept here.
#[derive(Debug)]
pub struct SuccessorLeases(ArcSwap<Snapshot>);

#[derive(Debug)]
struct Snapshot {
    leases: PredecessorLeases,
    /// Time from which the remaining times of the leases count, on the monotonic clock.
    recorded_ms: u64,
}

impl SuccessorLeases {
    /// Returns a store of leases whose remaining times count from `recorded_ms` on the monotonic
    /// clock.
    pub fn new(leases: PredecessorLeases, recorded_ms: u64) -> Self {
        Self(ArcSwap::from_pointee(Snapshot { leases, recorded_ms }))
    }

    /// Replaces the leases; their remaining times count from `recorded_ms` on the monotonic clock.
    pub fn set(&self, leases: PredecessorLeases, recorded_ms: u64) {
        self.0.store(Snapshot { leases, recorded_ms }.into());
    }

    /// Returns the leases with their remaining times at `now_ms` on the monotonic clock.
    pub fn remaining_at(&self, now_ms: u64) -> PredecessorLeases {
        let snapshot = self.0.load();
        snapshot.leases.clone().aged_by(now_ms.saturating_sub(snapshot.recorded_ms))
    }
}
