use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Decision;
use crate::Millis;

/// Age from which decisions on jobs that do not run may be dropped by [`Explanations::trim`].
const RETENTION_MS: u64 = 600_000;
/// Number of decisions up to which [`Explanations::trim`] drops none.
const MIN_TRIM_LEN: usize = 4096;

/// The latest decision on each job, shown to operators by `explain`.
#[derive(Debug, Clone, Default)]
pub struct Explanations {
    by_job: BTreeMap<Name, (Millis, Decision)>,
    /// Number of decisions above which old ones are dropped, if it exceeds [`MIN_TRIM_LEN`].
    trim_len: usize,
}

impl Explanations {
    /// Replaces the decision on a job. Decisions on workers are ignored.
    pub fn record(&mut self, now: Millis, decision: &Decision) {
        if let Some(job) = decision.job() {
            self.by_job.insert(job.clone(), (now, decision.clone()));
        }
    }

    pub fn forget(&mut self, job: &Name) {
        self.by_job.remove(job);
    }

    /// Returns whether there are so many decisions that [`trim`](Self::trim) drops old ones.
    pub fn is_large(&self) -> bool {
        self.by_job.len() > self.trim_len.max(MIN_TRIM_LEN)
    }

    /// Drops decisions older than [`RETENTION_MS`], except those on running jobs, if
    /// [`is_large`](Self::is_large) holds.
    pub fn trim(&mut self, now: Millis, is_running: impl Fn(&Name) -> bool) {
        if !self.is_large() {
            return;
        }
        self.by_job.retain(|job, (at, _)| now.since(*at) < RETENTION_MS || is_running(job));
        self.trim_len = self.by_job.len() * 2;
    }

    /// Formats the latest decision on `job` with its time in milliseconds.
    pub fn text(&self, job: &Name) -> String {
        match self.by_job.get(job) {
            Some((at, decision)) => format!("{decision} at={at}ms"),
            None => format!("no decision on job={job}"),
        }
    }
}
