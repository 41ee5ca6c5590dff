//! Handling of submissions and cancellations by customers and operators.

use geraniumpost_schema::Name;

use super::{Effect, JobResponse, Planner, PlannerAction};
use crate::{
    jobs::{JobRecord, JobSpec, JobState, LeaseRole, Now, Transition, bucket_of, codes},
    placement::{WorkerView, amounts},
};

/// Time after which to retry when no planner is ready.
const RETRY_NO_PLANNER_MS: u64 = 1_000;
/// Time after which to retry when the bucket is full.
const RETRY_BUCKET_FULL_MS: u64 = 30_000;
/// Minimum retention of a finished record in a full bucket.
const MIN_RETENTION_WHEN_FULL_MS: u64 = 60_000;

impl Planner {
    pub(super) fn on_submit(
        &mut self,
        spec: JobSpec,
        request_id: u64,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        if let Some(response) = self.unavailable_response().or_else(|| self.rejection(&spec, now)) {
            return actions.push(PlannerAction::Reply { request_id, response });
        }
        let job = spec.id.clone();
        let response = self.repeat_response(&spec).unwrap_or_else(|| self.accept_job(spec, now));
        self.apply_after_commit(&job, Effect::Reply { request_id, response }, now, actions);
    }

    fn unavailable_response(&self) -> Option<JobResponse> {
        let code = match self.role {
            LeaseRole::Leader { .. } if self.is_ready() => return None,
            LeaseRole::Disconnected { .. } => codes::NOT_RECORDED,
            _ => codes::NOT_PLANNER,
        };
        Some(JobResponse::new(code).retry_after_ms(RETRY_NO_PLANNER_MS))
    }

    /// Returns the response to a repeated submission, or `None` if the job has no record.
    fn repeat_response(&self, spec: &JobSpec) -> Option<JobResponse> {
        let record = self.record(&spec.id)?;
        let code =
            if record.state().is_final() { codes::FINISHED } else { codes::ALREADY_ACCEPTED };
        Some(JobResponse::new(code).state(record.state()).detail(record.result()))
    }

    fn rejection(&mut self, spec: &JobSpec, now: Now) -> Option<JobResponse> {
        if !spec.has_valid_id() {
            return Some(JobResponse::new(codes::BAD_ID));
        }
        if let Some(record) = self.record(&spec.id) {
            return (record.spec() != spec).then(|| JobResponse::new(codes::ID_TAKEN));
        }
        if self.slots[bucket_of(&spec.id)].bucket.has_tombstone(&spec.id) {
            return Some(JobResponse::new(codes::FINISHED).detail("its record was dropped"));
        }
        self.new_job_rejection(spec).or_else(|| self.bucket_full_rejection(spec, now))
    }

    fn new_job_rejection(&self, spec: &JobSpec) -> Option<JobResponse> {
        if !spec.has_valid_command() {
            return Some(JobResponse::new(codes::COMMAND_TOO_LONG));
        }
        if !self.classes.contains_key(&spec.class) {
            return Some(JobResponse::new(codes::UNKNOWN_CLASS).detail(spec.class.as_str()));
        }
        let unfinished = self.unfinished.get(&spec.customer).copied().unwrap_or_default();
        let quota = self.job_quotas.get(&spec.customer).copied().unwrap_or_default();
        if unfinished >= quota {
            let detail = format!("{unfinished} unfinished jobs of {quota}");
            return Some(JobResponse::new(codes::TOO_MANY_JOBS).detail(detail));
        }
        self.impossible_rejection(spec)
    }

    /// Rejects a job that is larger than any worker, naming the resource and the largest worker.
    fn impossible_rejection(&self, spec: &JobSpec) -> Option<JobResponse> {
        let fits = |worker: &WorkerView| amounts::fits(&spec.need, &worker.allowance());
        if self.fleet.awaiting_workers() || self.fleet.workers().any(fits) {
            return None;
        }
        let share = |worker: &WorkerView| amounts::dominant_share(&spec.need, &worker.allowance());
        let nearest = self.fleet.workers().min_by(|a, b| share(a).total_cmp(&share(b)))?;
        let resource = amounts::exceeded_resource(&spec.need, &nearest.allowance())?;
        let detail = format!(
            "needs more {resource} than the largest worker {} offers: {:?}",
            nearest.name(),
            nearest.allowance(),
        );
        Some(JobResponse::new(codes::IMPOSSIBLE).detail(detail))
    }

    /// Rejects a job while its bucket is nearly full, after dropping finished records early.
    fn bucket_full_rejection(&mut self, spec: &JobSpec, now: Now) -> Option<JobResponse> {
        let size = spec.command.len() + 512;
        let slot = &mut self.slots[bucket_of(&spec.id)];
        if !slot.bucket.is_full(size) {
            return None;
        }
        let before = now.wall_ms.saturating_sub(MIN_RETENTION_WHEN_FULL_MS);
        slot.bucket.drop_finished_before(before);
        let full = slot.bucket.is_full(size);
        full.then(|| JobResponse::new(codes::RECORDS_FULL).retry_after_ms(RETRY_BUCKET_FULL_MS))
    }

    fn accept_job(&mut self, spec: JobSpec, now: Now) -> JobResponse {
        let record = JobRecord::new(spec, now.wall_ms);
        let slot = &mut self.slots[bucket_of(record.id())];
        slot.dirty = true;
        slot.bucket.put(record.clone());
        self.add_to_index(&record);
        self.counters.accepted += 1;
        JobResponse::new(codes::ACCEPTED).state(JobState::Pending)
    }

    pub(super) fn on_cancel(
        &mut self,
        job: &Name,
        customer: &Name,
        request_id: u64,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        if let Some(response) =
            self.unavailable_response().or_else(|| self.cancel_rejection(job, customer))
        {
            return actions.push(PlannerAction::Reply { request_id, response });
        }
        let response = self.cancel_job(job, now);
        if response.state == Some(JobState::Cancelling) {
            self.apply_after_commit(job, Effect::SendStop { job: job.clone() }, now, actions);
        }
        self.apply_after_commit(job, Effect::Reply { request_id, response }, now, actions);
    }

    fn cancel_rejection(&self, job: &Name, customer: &Name) -> Option<JobResponse> {
        let Some(record) = self.record(job) else {
            let dropped = self.slots[bucket_of(job)].bucket.has_tombstone(job);
            let code = if dropped { codes::FINISHED_BEFORE_CANCEL } else { codes::UNKNOWN_JOB };
            return Some(JobResponse::new(code));
        };
        let foreign = !customer.is_empty() && *customer != record.spec().customer;
        foreign.then(|| JobResponse::new(codes::UNKNOWN_JOB))
    }

    fn cancel_job(&mut self, job: &Name, now: Now) -> JobResponse {
        if let Ok(state) = self.apply_transition(job, Transition::Cancel, now) {
            return JobResponse::new(codes::CANCELLED).state(state);
        }
        let state = self.record(job).map_or(JobState::Cancelled, JobRecord::state);
        let code = if state == JobState::Cancelled {
            codes::CANCELLED
        } else {
            codes::FINISHED_BEFORE_CANCEL
        };
        JobResponse::new(code).state(state)
    }
}
