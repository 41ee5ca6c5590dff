use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Decision;
use crate::Millis;

/// Age from which decisions on jobs that do not run may be dropped by [`Explanations::trim`].
const RETENTION_MS: u64 = 600_000;
/// Number of decisions up to which [`Explanations::trim`] keeps all of them.
const MIN_TRIM_LEN: usize = 4096;

/// The latest decision on each job, shown to operators by `explain`.
#[derive(Debug, Clone, Default)]
pub struct Explanations {
    by_job: BTreeMap<Name, (Millis, Decision)>,
    /// Number of decisions above which [`trim`](Self::trim) drops old decisions. If lower than
    /// [`MIN_TRIM_LEN`], that number applies instead.
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

    /// Returns whether there are so many decisions that [`trim`](Self::trim) drops old decisions.
    pub fn needs_trim(&self) -> bool {
        self.by_job.len() > self.trim_len.max(MIN_TRIM_LEN)
    }

    /// Drops decisions that are [`RETENTION_MS`] old or older, except decisions on running jobs, if
    /// [`needs_trim`](Self::needs_trim) holds.
    pub fn trim(&mut self, now: Millis, is_running: impl Fn(&Name) -> bool) {
        if !self.needs_trim() {
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
