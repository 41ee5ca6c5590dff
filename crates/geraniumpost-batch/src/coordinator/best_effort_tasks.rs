/// The filling tasks of one image on a minion.
#[derive(Debug, Clone)]
pub(super) struct BestEffortTasks {
    pub(super) runs: i32,
    /// Processors that they would use, in thousandths.
    pub(super) milli_cpus: i64,
    /// Share that they are told to work at.
    pub(super) percent: u8,
}

impl Default for BestEffortTasks {
    fn default() -> Self {
        Self { runs: 0, milli_cpus: 0, percent: 100 }
    }
}

impl BestEffortTasks {
    /// Returns the processors that they use at a share of their speed, in thousandths.
    pub(super) fn milli_cpus_at(&self, percent: u8) -> f64 {
        self.milli_cpus as f64 * f64::from(percent) / 100.0
    }
}
