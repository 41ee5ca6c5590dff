use super::StopReason;

/// Number of runs that were stopped for more urgent tasks, by reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StopCounts([u64; StopReason::ALL.len()]);

impl StopCounts {
    /// Returns counts without any stop.
    pub const fn new() -> Self {
        Self([0; StopReason::ALL.len()])
    }

    /// Counts a stop.
    pub const fn add(&mut self, reason: StopReason) {
        self.0[reason as usize] += 1;
    }

    /// Returns the number of stops for a reason.
    pub const fn get(self, reason: StopReason) -> u64 {
        self.0[reason as usize]
    }
}
