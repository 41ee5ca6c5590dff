//! Calls on jobs.

use geraniumpost_schema::Name;
use serde_json::Value;

use super::identity::beyond_first;
use super::{ApiCode, ApiError, AuthenticatedJobCall, Call, ConsoleContext, JobCall, JobRequest};

/// Longest command of a job.
const MAX_COMMAND: usize = 4096;

/// Reads and checks the body of `PUT /api/jobs/{id}`.
pub(super) fn submission(
    id: Name,
    body: &[u8],
    context: &ConsoleContext,
) -> Result<JobCall, ApiError> {
    let unreadable = |error: serde_json::Error| {
        ApiError::from(ApiCode::Malformed).message(format!("The job cannot be read: {error}."))
    };
    let job: JobRequest = serde_json::from_slice(body).map_err(unreadable)?;
    check(&job, context)?;
    Ok(JobCall::Submit { id, job })
}

/// Asks the planner.
pub(super) async fn ask(
    job_call: JobCall,
    call: &Call,
    operator: Name,
    context: &ConsoleContext,
) -> Result<Value, ApiError> {
    beyond_first(&operator)?;
    let token = call.token().to_owned();
    (context.jobs)(AuthenticatedJobCall {
        call: job_call,
        operator,
        token,
        forwarded: call.forwarded,
    })
    .await
}

/// Refuses at once what the document does not know, with the names that it does know.
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
            .message("The job needs no processors or no memory.")
            .advice("Give `milli_cpus` and `memory_mb` of 1 or more."));
    }
    if job.command.is_empty() || job.command.len() > MAX_COMMAND {
        let message = format!("The command must have 1 to {MAX_COMMAND} bytes.");
        return Err(ApiError::from(ApiCode::Malformed).message(message));
    }
    Ok(())
}

fn unknown<'a>(kind: &str, name: &Name, known: impl Iterator<Item = &'a Name>) -> ApiError {
    let names: Vec<String> = known.take(20).map(|name| format!("`{name}`")).collect();
    ApiError::from(ApiCode::Malformed)
        .message(format!("The configuration knows no {kind} `{name}`."))
        .advice(format!("Known are {}.", names.join(", ")))
}
