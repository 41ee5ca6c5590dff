//! Compares what really ran, by the stand-ins' records, with what callers and operators were told.

mod job_run;
mod job_seen;
mod job_violation;
mod jobs;
mod request_violation;
mod requests;
mod summary;
mod told;

pub use job_seen::JobSeen;
pub use job_violation::JobViolation;
pub use jobs::check_jobs;
pub use request_violation::RequestViolation;
pub use requests::check_requests;
pub use summary::Summary;
pub use told::{Told, Word};
