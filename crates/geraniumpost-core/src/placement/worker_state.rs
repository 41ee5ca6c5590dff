use derive_more::Display;

/// Whether a worker may be given jobs.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum WorkerState {
    /// Accepts new jobs.
    #[default]
    #[display("healthy")]
    Healthy,
    /// Is about to leave: its tasks continue, new jobs are refused.
    #[display("draining")]
    Draining,
    /// Was quarantined by an operator or by the planner.
    #[display("quarantined")]
    Quarantined,
    /// Does not answer. It still counts for which jobs could ever run, as it may come back.
    #[display("lost")]
    Lost,
}
