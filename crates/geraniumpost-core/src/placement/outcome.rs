use derive_more::Display;

/// How one run of a job ended, as far as placement cares.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The run finished its work.
    #[display("completed")]
    Completed,
    /// The run failed by itself: the job or its worker is at fault.
    #[display("failed")]
    Failed,
    /// The run was stopped on order, so nobody is at fault.
    #[display("stopped")]
    Stopped,
    /// The run's worker was lost, so the job is not at fault.
    #[display("lost")]
    Lost,
}
