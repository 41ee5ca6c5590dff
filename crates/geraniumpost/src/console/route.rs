use geraniumpost_core::jobs::codes;
use geraniumpost_schema::Name;
use http::Method;

use super::{ApiCode, ApiError};

/// Maximum length of the id of a change, in bytes.
const MAX_CHANGE_ID_BYTES: usize = 63;
/// Maximum length of the id of a job, in bytes.
const MAX_JOB_ID_BYTES: usize = 128;

/// Target of a call, determined by its method and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// Returns the state of the entry and its region.
    Status,
    /// Reads the configuration.
    GetConfig,
    /// Changes the configuration.
    PutConfig,
    /// Checks a document without changing anything.
    CheckConfig,
    /// Returns the revision in force on each known process.
    InForce,
    /// Returns the metrics.
    Metrics,
    /// Lists jobs.
    Jobs,
    /// Reads a job.
    Job(Name),
    /// Submits a job.
    SubmitJob(Name),
    /// Cancels a job.
    CancelJob(Name),
    /// Explains why a job is in its state.
    ExplainJob(Name),
    /// Shows a page of the console, identified by the segments of its path.
    Page(Vec<String>),
    /// Handles a submitted form of the console, identified by the segments of its path.
    Post(Vec<String>),
}

impl Route {
    /// Returns the route of a call.
    ///
    /// # Errors
    ///
    /// Fails if the path does not exist or does not support the method.
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
            ["api", "status"] => require_method(method, &Method::GET, Self::Status),
            ["api", "config"] => match *method {
                Method::GET => Ok(Self::GetConfig),
                Method::PUT => Ok(Self::PutConfig),
                _ => Err(ApiCode::WrongMethod.into()),
            },
            ["api", "config", "check"] => require_method(method, &Method::POST, Self::CheckConfig),
            ["api", "in-force"] => require_method(method, &Method::GET, Self::InForce),
            ["metrics"] => require_method(method, &Method::GET, Self::Metrics),
            ["api", "jobs"] => require_method(method, &Method::GET, Self::Jobs),
            ["api", "jobs", id] => Self::job(method, job_id(id)?),
            ["api", "jobs", id, "explain"] => {
                require_method(method, &Method::GET, Self::ExplainJob(job_id(id)?))
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

fn require_method(method: &Method, wanted: &Method, route: Route) -> Result<Route, ApiError> {
    if method == wanted { Ok(route) } else { Err(ApiCode::WrongMethod.into()) }
}

/// Parses the id of a job from a path or a form.
pub(super) fn job_id(text: &str) -> Result<Name, ApiError> {
    let plain = text.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'));
    if plain && (1..=MAX_JOB_ID_BYTES).contains(&text.len()) {
        return Ok(Name::from(text));
    }
    let message = format!("`{}` is not a valid job id.", text.chars().take(80).collect::<String>());
    Err(ApiError::new(400, codes::BAD_ID, message)
        .advice("Use 1 to 128 ASCII letters, digits, dots, dashes and underscores."))
}

/// Parses the id of a change from a header or a form.
pub(super) fn parse_change_id(text: &str) -> Result<Name, ApiError> {
    let first = text.bytes().next().is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    let rest = text
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'_' | b'-'));
    if first && rest && text.len() <= MAX_CHANGE_ID_BYTES {
        return Ok(Name::from(text));
    }
    let message =
        format!("`{}` is not a valid change id.", text.chars().take(80).collect::<String>());
    Err(ApiError::from(ApiCode::Malformed)
        .message(message)
        .advice(
            "Use 1 to 63 lower-case letters, digits, dots, dashes and underscores, starting with a letter or digit.",
        ))
}
