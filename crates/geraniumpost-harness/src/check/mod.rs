//! Compares the runs in the stand-ins' records with the outcomes that callers and operators
//! observed.

mod job_run;
mod job_violation;
mod jobs;
mod observed_job;
mod observed_request;
mod request_violation;
mod requests;
mod summary;

pub use job_violation::JobViolation;
pub use jobs::check_jobs;
pub use observed_job::ObservedJob;
pub use observed_request::{ObservedRequest, Outcome};
pub use request_violation::RequestViolation;
pub use requests::check_requests;
pub use summary::Summary;
