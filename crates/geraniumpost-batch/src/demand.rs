use derive_more::{Add, AddAssign, Sub, SubAssign};
use serde::{Deserialize, Serialize};

/// An amount of resources: requested, in use or free.
///
/// # Example
///
/// ```
/// use geraniumpost_batch::Demand;
/// let small = Demand { milli_cpus: 500, memory_mb: 256, accelerators: 0 };
/// let large = Demand { milli_cpus: 16_000, memory_mb: 32_768, accelerators: 0 };
/// assert!(small.fits(large) && !large.fits(small));
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Default,
    Serialize,
    Deserialize,
    Add,
    AddAssign,
    Sub,
    SubAssign,
)]
pub struct Demand {
    /// Thousandths of a processor.
    pub milli_cpus: i64,
    /// Memory in mebibytes.
    pub memory_mb: i64,
    /// Number of accelerators; an accelerator is not shared between tasks.
    pub accelerators: i64,
}

impl Demand {
    /// Returns whether `free` covers this amount in every resource.
    pub const fn fits(self, free: Self) -> bool {
        self.milli_cpus <= free.milli_cpus
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }
}
