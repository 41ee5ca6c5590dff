use derive_more::Display;

/// How a run of a job ended, for the attribution of failures.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The run finished its work.
    #[display("completed")]
    Completed,
    /// The run failed: the job or its worker is at fault.
    #[display("failed")]
    Failed,
    /// The run was stopped by an order: neither is at fault.
    #[display("stopped")]
    Stopped,
    /// The run's worker was lost: the job is not at fault.
    #[display("lost")]
    Lost,
}
