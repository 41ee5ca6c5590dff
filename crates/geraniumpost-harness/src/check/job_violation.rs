use derive_more::Display;

/// A broken promise about jobs.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum JobViolation {
    /// A job ran in two places at once.
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
    /// A run resumed from a checkpoint that was never made.
    #[display("{job} resumed from {checkpoint}, which was never made")]
    UnknownCheckpoint {
        /// The job.
        job: String,
        /// Name of the checkpoint.
        checkpoint: String,
    },
    /// A run after an eviction did not resume from the eviction's checkpoint.
    #[display("{job} was stopped at {expected} and resumed from {resumed:?}")]
    LostCheckpoint {
        /// The job.
        job: String,
        /// Latest checkpoint before the stop.
        expected: String,
        /// Checkpoint that the next run was given.
        resumed: String,
    },
    /// A job ran to its end more than once.
    #[display("{job} was done {times} times")]
    DoneTwice {
        /// The job.
        job: String,
        /// Number of times.
        times: usize,
    },
    /// A result was committed that no run produced.
    #[display("{job} shows the result {result:?}, which no run produced")]
    UnknownResult {
        /// The job.
        job: String,
        /// Result that was committed.
        result: String,
    },
    /// A run was done and the job is not shown as completed.
    #[display("{_0} was done and is not completed")]
    LostResult(String),
    /// A job that had to complete never did.
    #[display("{_0} was lost")]
    Lost(String),
    /// A worker was given more than its VM can hold.
    #[display("worker {worker} was overfilled: {held}")]
    Overfilled {
        /// The worker.
        worker: String,
        /// What it held.
        held: String,
    },
}
