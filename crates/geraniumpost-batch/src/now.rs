/// The present, on both clocks that decisions need.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Now {
    /// The process's steady clock, which also counts suspension, in milliseconds.
    pub steady_ms: u64,
    /// The time of day in milliseconds since 1970, only for times that submitters chose.
    pub wall_ms: u64,
}
