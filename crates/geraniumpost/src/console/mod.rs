//! The operators' API and the console, a set of HTML forms. They have their own listener.
//!
//! Handlers collect the data of a page, and pure functions render it. `docs/OPERATIONS.md`
//! describes how operators use the API and the console.

mod api;
mod api_code;
mod api_error;
mod api_jobs;
mod authenticated_job_call;
mod call;
mod context;
mod form;
mod identity;
mod job_call;
mod job_reply;
mod job_request;
mod page_handlers;
mod pages;
mod reply;
mod route;
mod serve;

pub use api_code::ApiCode;
pub use api_error::ApiError;
pub use authenticated_job_call::AuthenticatedJobCall;
pub use call::Call;
pub use context::{ConsoleContext, JobsHandle, ValueHandle};
pub use identity::{bootstrap_token, csrf_token};
pub use job_call::{JobCall, forward};
pub use job_reply::{http_status, job_reply, job_value, state_name};
pub use job_request::JobRequest;
pub use reply::Reply;
pub use route::Route;
pub use serve::Console;
