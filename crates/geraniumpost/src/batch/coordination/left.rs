use arc_swap::ArcSwap;
use geraniumpost_batch::PredecessorLeases;

/// What a successor has to know of leases, as the decisions last told it.
///
/// The decisions end with their term, before the key is written for the last time.
#[derive(Debug)]
pub struct Left(ArcSwap<Told>);

#[derive(Debug)]
struct Told {
    inheritance: PredecessorLeases,
    /// When it was told, on the boot clock.
    at_ms: u64,
}

impl Left {
    /// Returns what holds from a time on the boot clock on, until something else is told.
    pub fn new(inheritance: PredecessorLeases, at_ms: u64) -> Self {
        Self(ArcSwap::from_pointee(Told { inheritance, at_ms }))
    }

    /// Takes note of what holds at a time on the boot clock.
    pub fn set(&self, inheritance: PredecessorLeases, at_ms: u64) {
        self.0.store(Told { inheritance, at_ms }.into());
    }

    /// Returns what is left of it at a time on the boot clock.
    pub fn at(&self, now_ms: u64) -> PredecessorLeases {
        let told = self.0.load();
        told.inheritance.clone().aged_by(now_ms.saturating_sub(told.at_ms))
    }
}
