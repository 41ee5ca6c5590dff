use derive_more::Display;

/// A violated guarantee about jobs.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum JobViolation {
    /// Two runs of a job overlapped.
    #[display(
        "{job} ran as epoch {first} on {first_worker} and as epoch {second} on {second_worker} at once"
    )]
    Overlap {
        /// The job.
        job: String,
        /// Epoch of the earlier run.
        first: u64,
        /// Worker of the earlier run.
        first_worker: String,
        /// Epoch of the later run.
        second: u64,
        /// Worker of the later run.
        second_worker: String,
    },
    /// A later run does not have a higher epoch.
    #[display("{job} ran as epoch {second} after epoch {first}")]
    EpochNotHigher {
        /// The job.
        job: String,
        /// Epoch of the earlier run.
        first: u64,
        /// Epoch of the later run.
        second: u64,
    },
    /// A run resumed from a checkpoint that no run has saved.
    #[display("{job} resumed from {checkpoint}, which no run has saved")]
    UnknownCheckpoint {
        /// The job.
        job: String,
        /// Name of the checkpoint.
        checkpoint: String,
    },
    /// A run did not resume from the checkpoint of the stopped run before it.
    #[display("{job} was stopped at {expected} and resumed from {resumed:?}")]
    LostCheckpoint {
        /// The job.
        job: String,
        /// Latest checkpoint before the stop.
        expected: String,
        /// Checkpoint from which the next run resumed.
        resumed: String,
    },
    /// A job was completed by more than one run.
    #[display("{job} was completed by {times} runs")]
    CompletedTwice {
        /// The job.
        job: String,
        /// Number of runs that completed the job.
        times: usize,
    },
    /// The committed result was produced by none of the job's runs.
    #[display("{job} shows the result {result:?}, which no run produced")]
    UnknownResult {
        /// The job.
        job: String,
        /// Result that was committed.
        result: String,
    },
    /// A run completed, but the job is not shown as completed.
    #[display("a run of {_0} completed, but the job is not shown as completed")]
    LostResult(String),
    /// No run completed a job that had to complete.
    #[display("no run of {_0} completed")]
    Lost(String),
    /// The tasks on a worker needed more resources than its VM has.
    #[display("the tasks on worker {worker} exceeded its capacity: {held}")]
    OverCapacity {
        /// The worker.
        worker: String,
        /// Resources that the tasks needed, as the worker recorded them.
        held: String,
    },
}
