use derive_more::Display;

/// How a run of a job ended, which decides whether the job or its worker is considered faulty.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// The run finished its work.
    #[display("completed")]
    Completed,
    /// The run failed, because of the job or its worker.
    #[display("failed")]
    Failed,
    /// The run was stopped by an order, which counts against neither the job nor the worker.
    #[display("stopped")]
    Stopped,
    /// The worker was lost, which counts against neither the job nor the worker.
    #[display("lost")]
    Lost,
}
