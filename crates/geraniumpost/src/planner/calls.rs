//! Conversion of calls on jobs to events of the planner, and of its state to answers.

use geraniumpost_core::jobs::{
    JobResponse, JobSpec, JobState, JobView, Planner, PlannerEvent, codes,
};
use geraniumpost_core::placement::Placer;
use geraniumpost_schema::Name;
use serde_json::{Value, json};

use crate::console::{ApiError, JobCall, JobRequest, job_reply, job_value, state_name};

/// Maximum number of jobs in the answer to a list call.
const MAX_LISTED: usize = 2_000;

/// Returns the event for a call that changes a job, `None` for a call that only reads.
pub(super) fn event(call: &JobCall, request_id: u64) -> Option<PlannerEvent> {
    match call {
        JobCall::Submit { id, job } => {
            Some(PlannerEvent::Submit { spec: spec(id, job), request_id })
        }
        JobCall::Cancel { id } => {
            Some(PlannerEvent::Cancel { job: id.clone(), customer: Name::default(), request_id })
        }
        JobCall::Status { .. } | JobCall::Explain { .. } | JobCall::List => None,
    }
}

/// Answers a call that only reads.
pub(super) fn read(call: &JobCall, planner: &Planner, placer: &Placer) -> Result<Value, ApiError> {
    match call {
        JobCall::Status { id } => find_job(planner, id).map(|view| job_value(&view)),
        JobCall::Explain { id } => find_job(planner, id).map(|view| explain(&view, placer)),
        _ => Ok(list(planner)),
    }
}

fn spec(id: &Name, job: &JobRequest) -> JobSpec {
    JobSpec {
        id: id.clone(),
        customer: job.customer.clone(),
        class: job.class.clone(),
        need: job.need(),
        command: job.command.clone(),
    }
}

fn find_job(planner: &Planner, id: &Name) -> Result<JobView, ApiError> {
    if !planner.is_ready() {
        let response = JobResponse::new(codes::NOT_PLANNER).retry_after_ms(1_000);
        return Err(api_error(id, &response));
    }
    planner.job(id).ok_or_else(|| api_error(id, &JobResponse::new(codes::UNKNOWN_JOB)))
}

fn api_error(id: &Name, response: &JobResponse) -> ApiError {
    job_reply(id, response).err().unwrap_or_else(|| ApiError::new(500, response.code, ""))
}

fn explain(view: &JobView, placer: &Placer) -> Value {
    let record = &view.record;
    let why = match record.state() {
        JobState::Pending | JobState::Assigned => placer.explain(record.id()),
        state if state.is_final() => record.result().to_owned(),
        _ => "waits until the agent reports the end of the run".to_owned(),
    };
    json!({ "id": record.id(), "state": state_name(record.state()), "why": why })
}

/// Lists up to [`MAX_LISTED`] jobs: first the unfinished ones, then the finished ones, each by id.
fn list(planner: &Planner) -> Value {
    let (unfinished, finished): (Vec<_>, Vec<_>) =
        planner.records().partition(|record| !record.state().is_final());
    let total = unfinished.len() + finished.len();
    let shown = unfinished.into_iter().chain(finished).take(MAX_LISTED);
    let jobs: Vec<Value> =
        shown.filter_map(|record| planner.job(record.id())).map(|view| job_value(&view)).collect();
    let (pending, placed) = planner.queue_lengths();
    json!({ "jobs": jobs, "total": total, "pending": pending, "placed": placed })
}
