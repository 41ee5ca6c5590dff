/// Disturbed tasks of a serving step on one minion, as of the minion's last poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DisturbanceCounts {
    /// Number of tasks over their latency bound beside best-effort tasks.
    pub over: u32,
    /// Number of further tasks that are predicted to exceed their bound.
    pub predicted: u32,
}

impl DisturbanceCounts {
    /// Returns the number of tasks that are or will be over their bound.
    pub const fn disturbed(self) -> u32 {
        self.over + self.predicted
    }
}
