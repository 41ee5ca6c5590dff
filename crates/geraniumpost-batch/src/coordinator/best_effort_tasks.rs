use crate::disturbance::PaceRamp;

/// The best-effort runs of one image on a minion.
#[derive(Debug, Clone)]
pub(super) struct BestEffortTasks {
    pub(super) run_count: i32,
    /// Processors that all runs together could use at full speed, in thousandths of a processor.
    pub(super) milli_cpus: i64,
    /// Pace last set for all runs, in percent of full speed.
    pub(super) pace_percent: u8,
    /// Limit of the pace while it is not known whether the runs disturb serving tasks, or after
    /// they have disturbed them.
    pub(super) ramp: PaceRamp,
}

impl Default for BestEffortTasks {
    fn default() -> Self {
        Self { run_count: 0, milli_cpus: 0, pace_percent: 100, ramp: PaceRamp::FULL }
    }
}

impl BestEffortTasks {
    /// Returns the pace, in percent, at which the runs count against the headroom of serving tasks.
    /// A pace that is limited by the ramp soon rises, so that the runs count as at full speed.
    pub(super) const fn expected_pace_percent(&self) -> u8 {
        if self.ramp.is_limited() { 100 } else { self.pace_percent }
    }

    /// Returns the processors that all runs together use at a pace, in thousandths of a processor.
    pub(super) fn milli_cpus_at(&self, pace_percent: u8) -> f64 {
        self.milli_cpus as f64 * f64::from(pace_percent) / 100.0
    }
}
