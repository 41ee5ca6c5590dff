/// The best-effort runs of one image on a minion.
#[derive(Debug, Clone)]
pub(super) struct BestEffortTasks {
    pub(super) run_count: i32,
    /// Processors that all runs together could use at full speed, in thousandths of a processor.
    pub(super) milli_cpus: i64,
    /// Pace last set for all runs, in percent of full speed.
    pub(super) pace_percent: u8,
}

impl Default for BestEffortTasks {
    fn default() -> Self {
        Self { run_count: 0, milli_cpus: 0, pace_percent: 100 }
    }
}

impl BestEffortTasks {
    /// Returns the processors that all runs together use at a pace, in thousandths of a processor.
    pub(super) fn milli_cpus_at(&self, pace_percent: u8) -> f64 {
        self.milli_cpus as f64 * f64::from(pace_percent) / 100.0
    }
}
