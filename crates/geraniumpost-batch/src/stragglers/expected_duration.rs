/// How long runs of a class take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedDuration {
    /// Duration that half of the runs exceed, in milliseconds.
    pub median_ms: u64,
    /// Duration that a tenth of the runs exceed, in milliseconds.
    pub slow_ms: u64,
}
