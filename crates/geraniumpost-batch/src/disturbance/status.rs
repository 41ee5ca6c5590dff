/// Figures on the disturbance of serving steps, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DisturbanceStatus {
    /// Number of serving steps with more disturbed tasks than their budget allows.
    pub steps_over_budget: u64,
    /// Total time in this term for which serving tasks were over their bound beside best-effort
    /// tasks, in milliseconds.
    pub over_bound_ms: u64,
    /// Number of trials that were begun in this term.
    pub trials: u64,
}
