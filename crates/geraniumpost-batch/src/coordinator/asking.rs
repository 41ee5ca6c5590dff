//! What callers ask for.

use geraniumpost_schema::Name;

use super::commits::Deferred;
use super::job::Job;
use super::{Coordinator, Effect};
use crate::tuning::RETRY_AFTER_MS;
use crate::{CallerRequest, CallerResponse, JobId, JobRecord, JobSpec, JobState, Now, QueueTerms};

impl Coordinator {
    /// Takes a caller's request; the answer comes as [`Effect::Reply`] under `ticket`, after
    /// everything it promises is committed.
    pub fn handle_request(&mut self, ticket: u64, ask: CallerRequest, now: Now) {
        match ask {
            CallerRequest::Submit { job, spec, terms } => {
                self.submit(ticket, job, spec, terms, now)
            }
            CallerRequest::Cancel(job) => self.cancel(ticket, job, now),
            CallerRequest::State(job) => {
                let answer = self.state(job);
                self.reply(ticket, answer);
            }
            CallerRequest::Pending(queue) => {
                let answer = CallerResponse::Pending(self.pending(&queue));
                self.reply(ticket, answer);
            }
        }
    }

    fn reply(&mut self, ticket: u64, answer: CallerResponse) {
        self.effects.push(Effect::Reply { ticket, response: answer });
    }

    fn submit(&mut self, ticket: u64, id: JobId, spec: JobSpec, terms: QueueTerms, now: Now) {
        if let Some(job) = self.jobs.get_mut(&id) {
            // The same job again, by a retry or a late copy. It is accepted once the record of the
            // first is committed, and begins nothing.
            if job.is_durable() {
                self.reply(ticket, CallerResponse::Accepted);
            } else {
                job.after_commit.push(Deferred::Reply(ticket, CallerResponse::Accepted));
            }
            return;
        }
        if let Err(error) = spec.check() {
            self.note(format!("decision=refuse job={id} why=\"{error}\""));
            self.reply(ticket, CallerResponse::Invalid);
            return;
        }
        if self.open.len() >= self.max_open_jobs {
            let open = self.open.len();
            self.note(format!("decision=refuse job={id} why=\"too many jobs\" open={open}"));
            self.reply(ticket, CallerResponse::Refused { retry_after_ms: RETRY_AFTER_MS });
            return;
        }
        self.note(format!(
            "decision=accept job={id} queue={} steps={} tasks={}",
            terms.queue,
            spec.steps.len(),
            spec.steps.iter().map(|step| step.count).sum::<u32>(),
        ));
        let mut job = Job::new(JobRecord::new(spec, terms, now.wall_ms));
        job.after_commit.push(Deferred::Reply(ticket, CallerResponse::Accepted));
        self.jobs.insert(id, job);
        self.open.insert(id);
        self.dirty.insert(id);
        self.begin_due(id, now);
        self.placing_due = true;
    }

    fn cancel(&mut self, ticket: u64, id: JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.reply(ticket, CallerResponse::Unknown);
            return;
        };
        let over = job.record.state.is_final();
        if over && job.durable == job.version {
            self.reply(ticket, CallerResponse::Cancelled);
            return;
        }
        job.after_commit.push(Deferred::Reply(ticket, CallerResponse::Cancelled));
        if !over {
            self.finish(id, JobState::Cancelled, now);
        }
    }

    fn state(&self, id: JobId) -> CallerResponse {
        match self.jobs.get(&id) {
            Some(job) if job.is_durable() => CallerResponse::State(job.state()),
            _ => CallerResponse::Unknown,
        }
    }

    fn pending(&self, queue: &Name) -> u64 {
        let waits = |job: &&Job| {
            job.record.terms.queue == *queue && job.is_durable() && job.state() == JobState::Queued
        };
        self.jobs.values().filter(waits).count() as u64
    }
}
