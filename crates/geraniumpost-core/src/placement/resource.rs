use derive_more::Display;
use geraniumpost_schema::Resources;

/// A kind of resource. Rejections name the resource, so that a customer knows which part of the
/// declared need to reduce.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Resource {
    /// Processors, counted in thousandths.
    #[display("processors")]
    Processors,
    /// Memory, counted in mebibytes.
    #[display("memory")]
    Memory,
    /// Accelerators, which are not divided between tasks.
    #[display("accelerators")]
    Accelerators,
}

impl Resource {
    /// Returns the amount of this resource in `amount`, in the unit given at the variant.
    #[must_use]
    pub const fn of(self, amount: &Resources) -> u64 {
        match self {
            Self::Processors => amount.milli_cpus,
            Self::Memory => amount.memory_mb,
            Self::Accelerators => amount.accelerators as u64,
        }
    }
}
