//! Pure functions that convert the planner's answers to those of the operators' API.

use geraniumpost_core::jobs::{JobResponse, JobState, JobView, codes};
use geraniumpost_schema::Name;
use serde_json::{Value, json};

use super::ApiError;

/// Converts the planner's answer to a submission or cancellation.
///
/// # Errors
///
/// Returns the planner's refusal with the HTTP status for its code.
pub fn job_reply(id: &Name, answer: &JobResponse) -> Result<Value, ApiError> {
    let (name, advice) = name_and_advice(answer.code);
    let state = answer.state.map(state_name);
    if answer.is_ok() {
        return Ok(json!({ "id": id, "code": answer.code, "result": name, "state": state }));
    }
    let message = match answer.detail.as_str() {
        "" => format!("Job {id}: {name}."),
        detail => format!("Job {id}: {name}, {detail}."),
    };
    Err(ApiError::new(http_status(answer.code), answer.code, message)
        .advice(advice)
        .retry_after_ms(answer.retry_after_ms)
        .details(json!({ "state": state })))
}

/// Renders a job with the keys of the API. The stored record has shorter keys to save space.
pub fn job_value(view: &JobView) -> Value {
    let record = &view.record;
    let spec = record.spec();
    let state = if view.running { "running" } else { state_name(record.state()) };
    json!({
        "id": spec.id,
        "customer": spec.customer,
        "class": spec.class,
        "command": spec.command,
        "need": spec.need,
        "state": state,
        "worker": record.worker(),
        "epoch": record.epoch(),
        "checkpoint": record.checkpoint(),
        "attempts": record.attempts(),
        "losses": record.losses(),
        "evictions": record.evictions(),
        "submitted_ms": record.submitted_ms(),
        "finished_ms": record.finished_ms(),
        "code": record.code(),
        "result": record.result(),
        "committed": view.committed,
        "evicting": view.evicting,
    })
}

/// Returns the name of a state in the API.
pub const fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Pending => "pending",
        JobState::Assigned => "assigned",
        JobState::Cancelling => "cancelling",
        JobState::Done => "done",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    }
}

/// Returns the HTTP status for a result code of the planner.
pub const fn http_status(code: u16) -> u16 {
    match code {
        codes::UNKNOWN_JOB => 404,
        codes::ID_TAKEN | codes::FINISHED_BEFORE_CANCEL => 409,
        codes::IMPOSSIBLE => 422,
        codes::TOO_MANY_JOBS => 429,
        codes::RECORDS_FULL | codes::NOT_PLANNER | codes::NOT_RECORDED => 503,
        codes::BAD_ID | codes::COMMAND_TOO_LONG | codes::UNKNOWN_CLASS => 400,
        _ => 200,
    }
}

fn name_and_advice(code: u16) -> (&'static str, &'static str) {
    let found = codes::TABLE.iter().find(|(number, ..)| *number == code);
    found.map_or(("unknown code", ""), |(_, name, advice)| (name, advice))
}
