use geraniumpost_schema::Name;

/// A named step in a job's life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transition {
    /// Gives a pending job to a worker's agent.
    Assign {
        /// The agent.
        worker: Name,
    },
    /// The run was checkpointed and stopped to make room.
    Evicted {
        /// Checkpoint the next run resumes from, empty to keep the recorded one.
        checkpoint: Name,
    },
    /// The agent refused the run, which truly never started.
    Refused {
        /// Wall time before which the next run must not start. Without a pause, a job that one agent
        /// refuses again and again would take several commits a second.
        not_before_ms: u64,
    },
    /// The run was stopped on order, or barred before it began.
    Stopped {
        /// Latest checkpoint known, empty to keep the recorded one.
        checkpoint: Name,
    },
    /// The run ended without a result: its worker, or the agent's hold on it, was lost.
    Lost {
        /// Latest checkpoint known, empty to keep the recorded one.
        checkpoint: Name,
    },
    /// The run ended with a failure of its own.
    RunFailed {
        /// What the worker said.
        reason: String,
        /// Failed runs that the job's class allows.
        max_attempts: u32,
        /// Wall time before which the next run must not start.
        not_before_ms: u64,
    },
    /// The run completed.
    Complete {
        /// What the worker said.
        result: String,
    },
    /// The customer or an operator cancels.
    Cancel,
    /// A pending job is given up, as no worker could ever hold it or as it fails everywhere.
    GiveUp {
        /// Result code of the end.
        code: u16,
        /// What the customer is told, such as the resource and the largest worker.
        reason: String,
    },
}
