use std::net::SocketAddr;

use geraniumpost_schema::Name;
use http::Method;
use serde_json::Value;

use super::{ApiCode, ApiError, AuthenticatedJobCall, JobRequest};
use crate::client::ApiClient;

/// Call of an operator on jobs.
#[derive(Debug, Clone, PartialEq)]
pub enum JobCall {
    /// Submits a job. Submitting the same job with the same id again has no effect.
    Submit {
        /// Id of the job, chosen by the operator.
        id: Name,
        /// The job.
        job: JobRequest,
    },
    /// Reads a job.
    Status {
        /// Id of the job.
        id: Name,
    },
    /// Cancels a job.
    Cancel {
        /// Id of the job.
        id: Name,
    },
    /// Explains why a job is in its state.
    Explain {
        /// Id of the job.
        id: Name,
    },
    /// Lists the region's jobs.
    List,
}

impl JobCall {
    /// Returns the HTTP method, path and body of the call.
    pub fn as_http(&self) -> (Method, String, Vec<u8>) {
        match self {
            Self::Submit { id, job } => {
                let body = serde_json::to_vec(job).unwrap_or_default();
                (Method::PUT, format!("/api/jobs/{id}"), body)
            }
            Self::Status { id } => (Method::GET, format!("/api/jobs/{id}"), Vec::new()),
            Self::Cancel { id } => (Method::DELETE, format!("/api/jobs/{id}"), Vec::new()),
            Self::Explain { id } => (Method::GET, format!("/api/jobs/{id}/explain"), Vec::new()),
            Self::List => (Method::GET, "/api/jobs".to_owned(), Vec::new()),
        }
    }
}

/// Forwards a call to the entry that plans for the region.
///
/// # Errors
///
/// Returns the planner's error, or [`ApiCode::Unknown`] if it did not answer.
pub async fn forward(
    planner: SocketAddr,
    own_name: &str,
    ask: &AuthenticatedJobCall,
) -> Result<Value, ApiError> {
    if ask.forwarded {
        return Err(ApiCode::NoPlanner.into());
    }
    let client = ApiClient::new(planner, &ask.token).header("x-forwarded-by-entry", own_name);
    let (method, path, body) = ask.call.as_http();
    let answer = client.call(method, &path, body).await;
    let reply = answer.map_err(|e| ApiError::from(ApiCode::Unknown).message(e.to_string()))?;
    if reply.is_success() {
        return Ok(reply.body);
    }
    let status = reply.status;
    let error = serde_json::from_value::<ApiError>(reply.body);
    Err(error.map_or_else(|_| ApiCode::Unknown.into(), |error| ApiError { status, ..error }))
}
