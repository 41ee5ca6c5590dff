//! Accepts, cancels and reports on jobs at the request of callers.

use geraniumpost_schema::Name;

use super::commits::DeferredAction;
use super::job::Job;
use super::{Coordinator, Effect};
use crate::tuning::RETRY_AFTER_MS;
use crate::{CallerRequest, CallerResponse, JobId, JobRecord, JobSpec, JobState, Now, QueueTerms};

impl Coordinator {
    /// Handles a caller's request. The response follows as [`Effect::Respond`] with `request_id`,
    /// once everything that it confirms is committed.
    pub fn handle_request(&mut self, request_id: u64, request: CallerRequest, now: Now) {
        match request {
            CallerRequest::Submit { job, spec, terms } => {
                self.submit(request_id, job, spec, terms, now);
            }
            CallerRequest::Cancel(job) => self.cancel(request_id, job, now),
            CallerRequest::State(job) => {
                let response = self.state_response(job);
                self.respond(request_id, response);
            }
            CallerRequest::Pending(queue) => {
                let response = CallerResponse::Pending(self.pending_job_count(&queue));
                self.respond(request_id, response);
            }
        }
    }

    pub(super) fn respond(&mut self, request_id: u64, response: CallerResponse) {
        self.effects.push(Effect::Respond { request_id, response });
    }

    fn submit(&mut self, request_id: u64, id: JobId, spec: JobSpec, terms: QueueTerms, now: Now) {
        if let Some(job) = self.jobs.get_mut(&id) {
            // A retry or a late copy of a submission is accepted once the record of the first
            // submission is committed, and creates no second job.
            if job.has_durable_record() {
                self.respond(request_id, CallerResponse::Accepted);
            } else {
                job.after_commit
                    .push(DeferredAction::Respond(request_id, CallerResponse::Accepted));
            }
            return;
        }
        if let Err(error) = spec.check() {
            self.log(format!("decision=refuse job={id} why=\"{error}\""));
            self.respond(request_id, CallerResponse::Invalid);
            return;
        }
        if self.is_store_not_committing() {
            self.refuse_unstorable(request_id, id);
            return;
        }
        if self.open_jobs.len() >= self.max_open_jobs {
            let open = self.open_jobs.len();
            self.log(format!("decision=refuse job={id} why=\"too many open jobs\" open={open}"));
            self.respond(request_id, CallerResponse::Refused { retry_after_ms: RETRY_AFTER_MS });
            return;
        }
        if self.fits_only_in_evacuated_domains(&spec, &terms, now) {
            self.log(format!("decision=refuse job={id} why=\"failure domains are evacuated\""));
            self.respond(request_id, CallerResponse::Refused { retry_after_ms: RETRY_AFTER_MS });
            return;
        }
        self.log(format!(
            "decision=accept job={id} queue={} steps={} tasks={}",
            terms.queue,
            spec.steps.len(),
            spec.steps.iter().map(|step| step.count).sum::<u32>(),
        ));
        let mut job = Job::new(JobRecord::new(spec, terms, now.wall_ms));
        job.after_commit.push(DeferredAction::Respond(request_id, CallerResponse::Accepted));
        self.jobs.insert(id, job);
        self.open_jobs.insert(id);
        self.dirty.insert(id);
        self.begin_due_occurrences_of_job(id, now);
        self.placement_due = true;
    }

    fn cancel(&mut self, request_id: u64, id: JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.respond(request_id, CallerResponse::Unknown);
            return;
        };
        let finished = job.record.state.is_final();
        if finished && job.durable_version == job.version {
            self.respond(request_id, CallerResponse::Cancelled);
            return;
        }
        job.after_commit.push(DeferredAction::Respond(request_id, CallerResponse::Cancelled));
        if !finished {
            self.finish_job(id, JobState::Cancelled, now);
        }
    }

    fn state_response(&self, id: JobId) -> CallerResponse {
        match self.jobs.get(&id) {
            Some(job) if job.has_durable_record() => CallerResponse::State(job.reported_state()),
            _ => CallerResponse::Unknown,
        }
    }

    fn pending_job_count(&self, queue: &Name) -> u64 {
        let is_queued = |job: &&Job| {
            job.record.terms.queue == *queue
                && job.has_durable_record()
                && job.reported_state() == JobState::Queued
        };
        self.jobs.values().filter(is_queued).count() as u64
    }
}
