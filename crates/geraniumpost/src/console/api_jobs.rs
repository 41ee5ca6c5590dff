//! Handlers of calls on jobs.

use geraniumpost_schema::Name;
use serde_json::Value;

use super::identity::reject_bootstrap;
use super::{ApiCode, ApiError, AuthenticatedJobCall, Call, ConsoleContext, JobCall, JobRequest};

/// Maximum length of a job's command in bytes.
const MAX_COMMAND_BYTES: usize = 4096;

/// Parses and checks the body of `PUT /api/jobs/{id}`.
pub(super) fn submission(
    id: Name,
    body: &[u8],
    context: &ConsoleContext,
) -> Result<JobCall, ApiError> {
    let unreadable = |error: serde_json::Error| {
        ApiError::from(ApiCode::Malformed).message(format!("The job is not valid JSON: {error}."))
    };
    let job: JobRequest = serde_json::from_slice(body).map_err(unreadable)?;
    check(&job, context)?;
    Ok(JobCall::Submit { id, job })
}

/// Sends a call to the planner and returns its answer.
pub(super) async fn call_planner(
    job_call: JobCall,
    call: &Call,
    operator: Name,
    context: &ConsoleContext,
) -> Result<Value, ApiError> {
    reject_bootstrap(&operator)?;
    let token = call.token().to_owned();
    (context.jobs)(AuthenticatedJobCall {
        call: job_call,
        operator,
        token,
        forwarded: call.forwarded,
    })
    .await
}

/// Refuses a job whose customer or class is not in the document, and names known ones.
fn check(job: &JobRequest, context: &ConsoleContext) -> Result<(), ApiError> {
    let now = context.config.active().load();
    let document = now.document();
    if !document.customers.contains_key(&job.customer) {
        return Err(unknown("customer", &job.customer, document.customers.keys()));
    }
    if !document.classes.contains_key(&job.class) {
        return Err(unknown("class", &job.class, document.classes.keys()));
    }
    if job.milli_cpus == 0 || job.memory_mb == 0 {
        let error = ApiError::from(ApiCode::Malformed);
        return Err(error
            .message("`milli_cpus` or `memory_mb` of the job is 0.")
            .advice("Set `milli_cpus` and `memory_mb` to 1 or more."));
    }
    if job.command.is_empty() || job.command.len() > MAX_COMMAND_BYTES {
        let message = format!("The command must have 1 to {MAX_COMMAND_BYTES} bytes.");
        return Err(ApiError::from(ApiCode::Malformed).message(message));
    }
    Ok(())
}

fn unknown<'a>(kind: &str, name: &Name, known: impl Iterator<Item = &'a Name>) -> ApiError {
    let names: Vec<String> = known.take(20).map(|name| format!("`{name}`")).collect();
    ApiError::from(ApiCode::Malformed)
        .message(format!("The configuration contains no {kind} `{name}`."))
        .advice(format!("Use one of {}.", names.join(", ")))
}
