use geraniumpost_schema::Name;

/// A transition of a job's state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transition {
    /// A pending job is assigned to a worker's agent.
    Assign {
        /// Name of the agent that the job is assigned to.
        worker: Name,
    },
    /// The run was checkpointed and stopped to free its resources.
    Evicted {
        /// Checkpoint that the next run resumes from, empty to keep the recorded one.
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
        /// Latest known checkpoint, empty to keep the recorded one.
        checkpoint: Name,
    },
    /// The run ended without a result because its worker was lost or the agent's lease expired.
    Lost {
        /// Latest known checkpoint, empty to keep the recorded one.
        checkpoint: Name,
    },
    /// The run failed by an error of its own.
    RunFailed {
        /// Text reported by the worker.
        reason: String,
        /// Number of failed runs after which the job fails, from its class.
        max_attempts: u32,
        /// Wall time before which the next run must not start.
        not_before_ms: u64,
    },
    /// The run completed.
    Complete {
        /// Text reported by the worker.
        result: String,
    },
    /// The customer or an operator cancels the job.
    Cancel,
    /// A pending job fails permanently, because no worker is large enough or because it fails on
    /// every worker.
    GiveUp {
        /// Final result code.
        code: u16,
        /// Explanation for the customer, such as the insufficient resource and the largest worker.
        reason: String,
    },
}
