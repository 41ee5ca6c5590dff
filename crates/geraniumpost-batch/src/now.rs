/// The current time on the two clocks that decisions depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Now {
    /// Monotonic clock of the process in milliseconds; the clock also advances while the machine is
    /// suspended.
    pub steady_ms: u64,
    /// Wall clock in milliseconds since 1970, used only for times that submitters choose or see.
    pub wall_ms: u64,
}
