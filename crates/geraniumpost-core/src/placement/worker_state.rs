use derive_more::Display;

/// Whether jobs may be started on a worker. Only healthy workers accept jobs.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum WorkerState {
    /// The worker responds and accepts new jobs.
    #[default]
    #[display("healthy")]
    Healthy,
    /// The worker is to be removed: its tasks continue, but no jobs are started.
    #[display("draining")]
    Draining,
    /// The worker was quarantined by an operator or by the planner, so no jobs are started.
    #[display("quarantined")]
    Quarantined,
    /// The worker does not respond. Jobs that fit only on lost workers wait because these may come
    /// back.
    #[display("lost")]
    Lost,
}
