//! What callers ask for.

use geraniumpost_schema::Name;

use super::commits::Deferred;
use super::job::Job;
use super::{Coordinator, Effect};
use crate::tuning::RETRY_AFTER_MS;
use crate::{Answer, Ask, JobId, JobRecord, JobSpec, JobState, Now, QueueTerms};

impl Coordinator {
    /// Takes a caller's request; the answer comes as [`Effect::Reply`] under `ticket`, after
    /// everything it promises is committed.
    pub fn handle_request(&mut self, ticket: u64, ask: Ask, now: Now) {
        match ask {
            Ask::Submit { job, spec, terms } => self.submit(ticket, job, spec, terms, now),
            Ask::Cancel(job) => self.cancel(ticket, job, now),
            Ask::State(job) => {
                let answer = self.state(job);
                self.reply(ticket, answer);
            }
            Ask::Pending(queue) => {
                let answer = Answer::Pending(self.pending(&queue));
                self.reply(ticket, answer);
            }
        }
    }

    fn reply(&mut self, ticket: u64, answer: Answer) {
        self.effects.push(Effect::Reply { ticket, answer });
    }

    fn submit(&mut self, ticket: u64, id: JobId, spec: JobSpec, terms: QueueTerms, now: Now) {
        if let Some(job) = self.jobs.get_mut(&id) {
            // The same job again, by a retry or a late copy. It is accepted once the record of the
            // first is committed, and begins nothing.
            if job.is_durable() {
                self.reply(ticket, Answer::Accepted);
            } else {
                job.after_commit.push(Deferred::Reply(ticket, Answer::Accepted));
            }
            return;
        }
        if let Err(error) = spec.check() {
            self.note(format!("decision=refuse job={id} why=\"{error}\""));
            self.reply(ticket, Answer::Invalid);
            return;
        }
        if self.open.len() >= self.max_open_jobs {
            let open = self.open.len();
            self.note(format!("decision=refuse job={id} why=\"too many jobs\" open={open}"));
            self.reply(ticket, Answer::Refused { retry_after_ms: RETRY_AFTER_MS });
            return;
        }
        self.note(format!(
            "decision=accept job={id} queue={} steps={} tasks={}",
            terms.queue,
            spec.steps.len(),
            spec.steps.iter().map(|step| step.count).sum::<u32>(),
        ));
        let mut job = Job::new(JobRecord::new(spec, terms, now.wall_ms));
        job.after_commit.push(Deferred::Reply(ticket, Answer::Accepted));
        self.jobs.insert(id, job);
        self.open.insert(id);
        self.dirty.insert(id);
        self.begin_due(id, now);
        self.placing_due = true;
    }

    fn cancel(&mut self, ticket: u64, id: JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else {
            self.reply(ticket, Answer::Unknown);
            return;
        };
        let over = job.record.state.is_final();
        if over && job.durable == job.version {
            self.reply(ticket, Answer::Cancelled);
            return;
        }
        job.after_commit.push(Deferred::Reply(ticket, Answer::Cancelled));
        if !over {
            self.finish(id, JobState::Cancelled, now);
        }
    }

    fn state(&self, id: JobId) -> Answer {
        match self.jobs.get(&id) {
            Some(job) if job.is_durable() => Answer::State(job.state()),
            _ => Answer::Unknown,
        }
    }

    fn pending(&self, queue: &Name) -> u64 {
        let waits = |job: &&Job| {
            job.record.terms.queue == *queue && job.is_durable() && job.state() == JobState::Queued
        };
        self.jobs.values().filter(waits).count() as u64
    }
}
