use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Decision;
use crate::Millis;

/// Age at which what was said of a job may be forgotten, once there is much of it.
const KEPT_MS: u64 = 600_000;
/// Entries over which old ones are dropped.
const MANY: usize = 4096;

/// The latest decision on each job, for operators who ask why.
#[derive(Debug, Clone, Default)]
pub struct Explanations {
    by_job: BTreeMap<Name, (Millis, Decision)>,
    most: usize,
}

impl Explanations {
    /// Notes a decision.
    pub fn note(&mut self, now: Millis, decision: &Decision) {
        if let Some(job) = decision.job() {
            self.by_job.insert(job.clone(), (now, decision.clone()));
        }
    }

    /// Forgets a job.
    pub fn forget(&mut self, job: &Name) {
        self.by_job.remove(job);
    }

    /// Returns whether there is much to forget.
    pub fn is_large(&self) -> bool {
        self.by_job.len() > self.most.max(MANY)
    }

    /// Drops what is old, except for jobs that still run, once there is much of it.
    pub fn trim(&mut self, now: Millis, runs: impl Fn(&Name) -> bool) {
        if !self.is_large() {
            return;
        }
        self.by_job.retain(|job, (at, _)| now.since(*at) < KEPT_MS || runs(job));
        self.most = self.by_job.len() * 2;
    }

    /// Returns what was last decided on a job, in words.
    pub fn text(&self, job: &Name) -> String {
        match self.by_job.get(job) {
            Some((at, decision)) => format!("{decision} at={at}ms"),
            None => format!("no decision on job={job}"),
        }
    }
}
