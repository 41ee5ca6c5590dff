//! Calls on jobs, turned into the planner's events and back.

use geraniumpost_core::jobs::{
    JobResponse, JobSpec, JobState, JobView, Planner, PlannerEvent, codes,
};
use geraniumpost_core::placement::Placer;
use geraniumpost_schema::Name;
use serde_json::{Value, json};

use crate::console::{ApiError, JobCall, JobRequest, job_reply, job_value, state_name};

/// Most jobs that a list shows.
const MAX_LISTED: usize = 2_000;

/// Returns the event of a call that changes a job.
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
        JobCall::Status { id } => known(planner, id).map(|view| job_value(&view)),
        JobCall::Explain { id } => known(planner, id).map(|view| explain(&view, placer)),
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

fn known(planner: &Planner, id: &Name) -> Result<JobView, ApiError> {
    if !planner.is_ready() {
        let answer = JobResponse::new(codes::NOT_PLANNER).retry_after_ms(1_000);
        return Err(refused(id, &answer));
    }
    planner.job(id).ok_or_else(|| refused(id, &JobResponse::new(codes::UNKNOWN_JOB)))
}

fn refused(id: &Name, answer: &JobResponse) -> ApiError {
    job_reply(id, answer).err().unwrap_or_else(|| ApiError::new(500, answer.code, ""))
}

fn explain(view: &JobView, placer: &Placer) -> Value {
    let record = &view.record;
    let why = match record.state() {
        JobState::Pending | JobState::Assigned => placer.explain(record.id()),
        state if state.is_final() => record.result().to_owned(),
        _ => "waits for the agent's word that the run has ended".to_owned(),
    };
    json!({ "id": record.id(), "state": state_name(record.state()), "why": why })
}

/// Lists jobs, unfinished ones first; each kind by id.
fn list(planner: &Planner) -> Value {
    let (live, ended): (Vec<_>, Vec<_>) =
        planner.records().partition(|record| !record.state().is_final());
    let total = live.len() + ended.len();
    let shown = live.into_iter().chain(ended).take(MAX_LISTED);
    let jobs: Vec<Value> =
        shown.filter_map(|record| planner.job(record.id())).map(|view| job_value(&view)).collect();
    let (pending, placed) = planner.queue_lengths();
    json!({ "jobs": jobs, "total": total, "pending": pending, "placed": placed })
}
