use geraniumpost_schema::Name;

/// A transition of a job's state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transition {
    /// The planner assigns a pending job to a worker.
    Assign {
        /// Name of the agent on the worker's VM.
        worker: Name,
    },
    /// The run was checkpointed and stopped to free its resources.
    Evicted {
        /// Checkpoint that the next run resumes from, empty to keep the recorded checkpoint.
        checkpoint: Name,
    },
    /// The agent refused the run, which is guaranteed not to have started.
    Refused {
        /// Wall time before which the next run must not start. Without this delay, a job that one
        /// agent refuses repeatedly would cause several commits a second.
        not_before_ms: u64,
    },
    /// The run was stopped by an order, or was prevented from starting.
    Stopped {
        /// Latest known checkpoint, empty to keep the recorded checkpoint.
        checkpoint: Name,
    },
    /// The run ended without a result because its worker was lost or the agent's lease expired.
    Lost {
        /// Latest known checkpoint, empty to keep the recorded checkpoint.
        checkpoint: Name,
    },
    /// The run failed by an error of its own.
    RunFailed {
        /// Error text from the worker.
        reason: String,
        /// Number of failed runs after which the job fails, from its class.
        max_attempts: u32,
        /// Wall time before which the next run must not start.
        not_before_ms: u64,
    },
    /// The run ended successfully, which finishes the job.
    Complete {
        /// Output text from the worker, which is kept for the customer.
        result: String,
    },
    /// The customer or an operator cancels the job.
    Cancel,
    /// A pending job fails permanently, because no worker is large enough or because it fails on
    /// every worker.
    GiveUp {
        /// Final result code, one of [`codes`](super::codes).
        code: u16,
        /// Explanation for the customer, such as the insufficient resource and the largest worker.
        reason: String,
    },
}
