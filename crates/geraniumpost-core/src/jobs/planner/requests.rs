//! What customers and operators ask for.

use geraniumpost_schema::Name;

use super::{Effect, JobResponse, Planner, PlannerAction};
use crate::{
    jobs::{JobRecord, JobSpec, JobState, LeaseRole, Now, Transition, bucket_of, codes},
    placement::{WorkerView, amounts},
};

/// When to come back if no planner is ready.
const RETRY_SOON_MS: u64 = 1_000;
/// When to come back if the records are full.
const RETRY_FULL_MS: u64 = 30_000;
/// Shortest time that a finished record is kept when room is needed.
const KEEP_WHEN_FULL_MS: u64 = 60_000;

impl Planner {
    pub(super) fn on_submit(
        &mut self,
        spec: JobSpec,
        reply: u64,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        if let Some(answer) = self.not_recording().or_else(|| self.refusal(&spec, moment)) {
            return actions.push(PlannerAction::Reply { reply, answer });
        }
        let job = spec.id.clone();
        let answer = self.known(&spec).unwrap_or_else(|| self.accept(spec, moment));
        self.after_commit(&job, Effect::Reply { reply, answer }, moment, actions);
    }

    fn not_recording(&self) -> Option<JobResponse> {
        let code = match self.standing {
            LeaseRole::Leader { .. } if self.is_ready() => return None,
            LeaseRole::Disconnected { .. } => codes::NOT_RECORDED,
            _ => codes::NOT_PLANNER,
        };
        Some(JobResponse::new(code).retry_after_ms(RETRY_SOON_MS))
    }

    /// Returns the answer to a submission that repeats an earlier one.
    fn known(&self, spec: &JobSpec) -> Option<JobResponse> {
        let record = self.record(&spec.id)?;
        let code =
            if record.state().is_final() { codes::FINISHED } else { codes::ALREADY_ACCEPTED };
        Some(JobResponse::new(code).state(record.state()).detail(record.result()))
    }

    fn refusal(&mut self, spec: &JobSpec, moment: Now) -> Option<JobResponse> {
        if !spec.has_valid_id() {
            return Some(JobResponse::new(codes::BAD_ID));
        }
        if let Some(record) = self.record(&spec.id) {
            return (record.spec() != spec).then(|| JobResponse::new(codes::ID_TAKEN));
        }
        if self.slots[bucket_of(&spec.id)].bucket.has_tombstone(&spec.id) {
            return Some(JobResponse::new(codes::FINISHED).detail("its record was dropped"));
        }
        self.refusal_of_new(spec).or_else(|| self.refusal_for_room(spec, moment))
    }

    fn refusal_of_new(&self, spec: &JobSpec) -> Option<JobResponse> {
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
        self.impossible(spec)
    }

    /// Refuses at once what no worker could ever hold, naming the resource and the largest worker.
    fn impossible(&self, spec: &JobSpec) -> Option<JobResponse> {
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

    /// Refuses while the store value is nearly full, after dropping finished records early.
    fn refusal_for_room(&mut self, spec: &JobSpec, moment: Now) -> Option<JobResponse> {
        let size = spec.command.len() + 512;
        let slot = &mut self.slots[bucket_of(&spec.id)];
        if !slot.bucket.is_full(size) {
            return None;
        }
        let before = moment.wall_ms.saturating_sub(KEEP_WHEN_FULL_MS);
        slot.bucket.drop_finished_before(before);
        let full = slot.bucket.is_full(size);
        full.then(|| JobResponse::new(codes::RECORDS_FULL).retry_after_ms(RETRY_FULL_MS))
    }

    fn accept(&mut self, spec: JobSpec, moment: Now) -> JobResponse {
        let record = JobRecord::new(spec, moment.wall_ms);
        let slot = &mut self.slots[bucket_of(record.id())];
        slot.dirty = true;
        slot.bucket.put(record.clone());
        self.index(&record);
        self.counters.accepted += 1;
        JobResponse::new(codes::ACCEPTED).state(JobState::Pending)
    }

    pub(super) fn on_cancel(
        &mut self,
        job: &Name,
        customer: &Name,
        reply: u64,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        if let Some(answer) = self.not_recording().or_else(|| self.not_cancellable(job, customer)) {
            return actions.push(PlannerAction::Reply { reply, answer });
        }
        let answer = self.cancel(job, moment);
        if answer.state == Some(JobState::Cancelling) {
            self.after_commit(job, Effect::CancelWanted { job: job.clone() }, moment, actions);
        }
        self.after_commit(job, Effect::Reply { reply, answer }, moment, actions);
    }

    fn not_cancellable(&self, job: &Name, customer: &Name) -> Option<JobResponse> {
        let Some(record) = self.record(job) else {
            let buried = self.slots[bucket_of(job)].bucket.has_tombstone(job);
            let code = if buried { codes::FINISHED_BEFORE_CANCEL } else { codes::UNKNOWN_JOB };
            return Some(JobResponse::new(code));
        };
        let foreign = !customer.is_empty() && *customer != record.spec().customer;
        foreign.then(|| JobResponse::new(codes::UNKNOWN_JOB))
    }

    fn cancel(&mut self, job: &Name, moment: Now) -> JobResponse {
        if let Ok(state) = self.change(job, Transition::Cancel, moment) {
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
