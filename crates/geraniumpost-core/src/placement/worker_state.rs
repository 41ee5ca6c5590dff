use derive_more::Display;

/// Whether a worker may be given work.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum WorkerState {
    /// Takes new work.
    #[default]
    #[display("healthy")]
    Healthy,
    /// Is leaving: its tasks go on, new ones are refused.
    #[display("draining")]
    Draining,
    /// Was set aside by an operator or by the planner.
    #[display("quarantined")]
    Quarantined,
    /// Is silent; it still counts for what could ever run, as it may come back.
    #[display("lost")]
    Lost,
}
