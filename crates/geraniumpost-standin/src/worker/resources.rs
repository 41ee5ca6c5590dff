use std::iter::Sum;

use serde::{Deserialize, Serialize};

/// Amounts of resources of a VM.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a processor.
    pub milli_cpus: u64,
    /// Memory in mebibytes.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether no amount exceeds `capacity`.
    pub const fn fits_in(&self, capacity: &Self) -> bool {
        self.milli_cpus <= capacity.milli_cpus
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }
}

impl Sum for Resources {
    fn sum<I: Iterator<Item = Self>>(parts: I) -> Self {
        parts.fold(Self::default(), |a, b| Self {
            milli_cpus: a.milli_cpus.saturating_add(b.milli_cpus),
            memory_mb: a.memory_mb.saturating_add(b.memory_mb),
            accelerators: a.accelerators.saturating_add(b.accelerators),
        })
    }
}
