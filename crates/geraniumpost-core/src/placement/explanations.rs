use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Decision;
use crate::Millis;

/// Age from which decisions may be dropped once there are too many of them.
const RETENTION_MS: u64 = 600_000;
/// Number of decisions up to which none are dropped.
const MIN_TRIM_LEN: usize = 4096;

/// The latest decision on each job, for operators.
#[derive(Debug, Clone, Default)]
pub struct Explanations {
    by_job: BTreeMap<Name, (Millis, Decision)>,
    trim_len: usize,
}

impl Explanations {
    /// Replaces the decision on the job that `decision` concerns, if it concerns one.
    pub fn record(&mut self, now: Millis, decision: &Decision) {
        if let Some(job) = decision.job() {
            self.by_job.insert(job.clone(), (now, decision.clone()));
        }
    }

    pub fn forget(&mut self, job: &Name) {
        self.by_job.remove(job);
    }

    /// Returns whether there are enough decisions for [`trim`](Self::trim) to drop old ones.
    pub fn is_large(&self) -> bool {
        self.by_job.len() > self.trim_len.max(MIN_TRIM_LEN)
    }

    /// Drops old decisions, except on running jobs, once there are too many.
    pub fn trim(&mut self, now: Millis, is_running: impl Fn(&Name) -> bool) {
        if !self.is_large() {
            return;
        }
        self.by_job.retain(|job, (at, _)| now.since(*at) < RETENTION_MS || is_running(job));
        self.trim_len = self.by_job.len() * 2;
    }

    /// Returns the text of the latest decision on a job, with its time.
    pub fn text(&self, job: &Name) -> String {
        match self.by_job.get(job) {
            Some((at, decision)) => format!("{decision} at={at}ms"),
            None => format!("no decision on job={job}"),
        }
    }
}
