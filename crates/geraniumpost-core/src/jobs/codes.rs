//! Numbered result codes of jobs, 3000 to 3999.
//!
//! [`TABLE`] lists every code with its name and the advice for the user.

/// The job was recorded.
pub const ACCEPTED: u16 = 3000;
/// An earlier submission with the same content recorded the job.
pub const ALREADY_ACCEPTED: u16 = 3001;
/// The job completed, or a repeated submission names a job that has already finished.
pub const FINISHED: u16 = 3002;
/// The cancellation was recorded, so the job never completes.
pub const CANCELLED: u16 = 3003;
/// Another job with different content has the same id.
pub const ID_TAKEN: u16 = 3101;
/// There is no job with this id, or it belongs to another customer.
pub const UNKNOWN_JOB: u16 = 3102;
/// The job finished before it was cancelled.
pub const FINISHED_BEFORE_CANCEL: u16 = 3103;
/// The job id is not 1 to 128 letters, digits, dots, dashes or underscores.
pub const BAD_ID: u16 = 3104;
/// The command is longer than 4096 bytes.
pub const COMMAND_TOO_LONG: u16 = 3105;
/// The configuration has no such job class.
pub const UNKNOWN_CLASS: u16 = 3106;
/// The customer has as many unfinished jobs as its quota allows.
pub const TOO_MANY_JOBS: u16 = 3107;
/// The job needs more resources than any worker has.
pub const IMPOSSIBLE: u16 = 3108;
/// The store value that keeps the job's record is nearly full.
pub const RECORDS_FULL: u16 = 3201;
/// This process is not the region's planner, or has not yet loaded the records.
pub const NOT_PLANNER: u16 = 3202;
/// The store is unreachable, so the request cannot be recorded.
pub const NOT_RECORDED: u16 = 3203;
/// The job failed as often as its class allows, or on several healthy workers.
pub const FAILED_TOO_OFTEN: u16 = 3301;
/// Too many runs of the job were lost with their workers.
pub const LOST_TOO_OFTEN: u16 = 3302;

/// Code, name and advice of each result, for `docs/RESULT_CODES.md`.
pub const TABLE: &[(u16, &str, &str)] = &[
    (ACCEPTED, "accepted", "The job is recorded and will complete once."),
    (ALREADY_ACCEPTED, "already accepted", "An earlier submission recorded this job."),
    (FINISHED, "finished", "The job has finished; read its state and result."),
    (CANCELLED, "cancelled", "The cancellation is recorded; no result will be taken."),
    (ID_TAKEN, "id taken", "Another job has this id; choose a new one."),
    (UNKNOWN_JOB, "unknown job", "Check the id and the region."),
    (FINISHED_BEFORE_CANCEL, "finished before cancel", "The job had finished; its result stands."),
    (BAD_ID, "bad id", "Use 1 to 128 letters, digits, dots, dashes or underscores."),
    (COMMAND_TOO_LONG, "command too long", "Shorten the command to 4096 bytes."),
    (UNKNOWN_CLASS, "unknown class", "Name a class of the configuration."),
    (TOO_MANY_JOBS, "too many jobs", "Wait for jobs to finish or raise the customer's quota."),
    (IMPOSSIBLE, "impossible", "Ask for no more than the largest worker offers."),
    (RECORDS_FULL, "records full", "Come back after the time given."),
    (NOT_PLANNER, "not planner", "Come back after the time given; a planner is being chosen."),
    (NOT_RECORDED, "not recorded", "Submit again with the same id; it runs once."),
    (FAILED_TOO_OFTEN, "failed too often", "See the reason of the last run."),
    (LOST_TOO_OFTEN, "lost too often", "The job may be what ends its workers."),
];
