use geraniumpost_core::jobs::codes;
use geraniumpost_schema::Name;
use http::Method;

use super::{ApiCode, ApiError};

/// Longest name of a change or of a value in the document.
const MAX_LABEL: usize = 63;
/// Longest id of a job.
const MAX_JOB_ID: usize = 128;

/// Page or call that a path names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// State of the entry and its region.
    Status,
    /// Reads the configuration.
    GetConfig,
    /// Changes the configuration.
    PutConfig,
    /// Checks a document without changing anything.
    CheckConfig,
    /// Revision in force everywhere.
    InForce,
    /// Metrics.
    Metrics,
    /// Lists jobs.
    Jobs,
    /// Reads a job.
    Job(Name),
    /// Submits a job.
    SubmitJob(Name),
    /// Cancels a job.
    CancelJob(Name),
    /// Explains a job.
    ExplainJob(Name),
    /// A page of the console, by the parts of its path.
    Page(Vec<String>),
    /// A form of the console, by the parts of its path.
    Post(Vec<String>),
}

impl Route {
    /// Finds the route of a call.
    ///
    /// # Errors
    ///
    /// Fails if the path or the method is not known.
    ///
    /// # Example
    ///
    /// ```
    /// use geraniumpost::console::Route;
    /// use http::Method;
    /// assert_eq!(Route::find(&Method::GET, "/api/config"), Ok(Route::GetConfig));
    /// assert_eq!(Route::find(&Method::POST, "/api/config").unwrap_err().code, 4003);
    /// ```
    pub fn find(method: &Method, path: &str) -> Result<Self, ApiError> {
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        match parts.as_slice() {
            ["api", "status"] => only(method, &Method::GET, Self::Status),
            ["api", "config"] => match *method {
                Method::GET => Ok(Self::GetConfig),
                Method::PUT => Ok(Self::PutConfig),
                _ => Err(ApiCode::WrongMethod.into()),
            },
            ["api", "config", "check"] => only(method, &Method::POST, Self::CheckConfig),
            ["api", "in-force"] => only(method, &Method::GET, Self::InForce),
            ["metrics"] => only(method, &Method::GET, Self::Metrics),
            ["api", "jobs"] => only(method, &Method::GET, Self::Jobs),
            ["api", "jobs", id] => Self::job(method, job_id(id)?),
            ["api", "jobs", id, "explain"] => {
                only(method, &Method::GET, Self::ExplainJob(job_id(id)?))
            }
            ["api", ..] => Err(ApiCode::NotFound.into()),
            _ => Self::page(method, &parts),
        }
    }

    fn job(method: &Method, id: Name) -> Result<Self, ApiError> {
        match *method {
            Method::GET => Ok(Self::Job(id)),
            Method::PUT => Ok(Self::SubmitJob(id)),
            Method::DELETE => Ok(Self::CancelJob(id)),
            _ => Err(ApiCode::WrongMethod.into()),
        }
    }

    fn page(method: &Method, parts: &[&str]) -> Result<Self, ApiError> {
        let parts = parts.iter().map(|part| (*part).to_owned()).collect();
        match *method {
            Method::GET => Ok(Self::Page(parts)),
            Method::POST => Ok(Self::Post(parts)),
            _ => Err(ApiCode::WrongMethod.into()),
        }
    }
}

fn only(method: &Method, wanted: &Method, route: Route) -> Result<Route, ApiError> {
    if method == wanted { Ok(route) } else { Err(ApiCode::WrongMethod.into()) }
}

/// Reads the id of a job out of a path or a form.
pub(super) fn job_id(text: &str) -> Result<Name, ApiError> {
    let plain = text.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'));
    if plain && (1..=MAX_JOB_ID).contains(&text.len()) {
        return Ok(Name::from(text));
    }
    let message = format!("`{}` is no id of a job.", text.chars().take(80).collect::<String>());
    Err(ApiError::new(400, codes::BAD_ID, message)
        .advice("Use 1 to 128 letters, digits, dots, dashes or underscores."))
}

/// Reads a name out of a path or a header.
pub(super) fn label(text: &str) -> Result<Name, ApiError> {
    let first = text.bytes().next().is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    let rest = text
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'_' | b'-'));
    if first && rest && text.len() <= MAX_LABEL {
        return Ok(Name::from(text));
    }
    let message = format!("`{}` is no name.", text.chars().take(80).collect::<String>());
    Err(ApiError::from(ApiCode::Malformed)
        .message(message)
        .advice("Use 1 to 63 lower-case letters, digits, dots, dashes and underscores."))
}
