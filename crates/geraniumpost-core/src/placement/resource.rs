use derive_more::Display;

/// A kind of resource, named in refusals so that a customer knows what to change.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Resource {
    /// Processors, counted in thousandths.
    #[display("processors")]
    Processors,
    /// Memory, counted in mebibytes.
    #[display("memory")]
    Memory,
    /// Whole accelerators.
    #[display("accelerators")]
    Accelerators,
}
