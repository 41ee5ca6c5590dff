use derive_more::Display;

/// Whether jobs may be started on a worker. Only a healthy one accepts them.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum WorkerState {
    /// Responds and accepts new jobs.
    #[default]
    #[display("healthy")]
    Healthy,
    /// Is to be removed: its tasks continue, but no jobs are started.
    #[display("draining")]
    Draining,
    /// Was quarantined by an operator or by the planner, so no jobs are started.
    #[display("quarantined")]
    Quarantined,
    /// Does not respond. Jobs that fit only on lost workers wait, as these may come back.
    #[display("lost")]
    Lost,
}
