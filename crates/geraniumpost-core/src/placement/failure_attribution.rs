use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::worker_record::{TrustState, WorkerRecord};
use super::{Decision, Reason, RunOutcome};
use crate::Millis;

/// Number of jobs with failures above which the failures of jobs that neither run nor wait are
/// forgotten.
const MAX_UNCHECKED_JOBS: usize = 64;

/// Distinguishes a worker on which every job fails from a job that fails on every worker.
///
/// A worker on which runs fail immediately always has free capacity, so the placer starts job after
/// job there, and healthy jobs use up their attempts. A worker on which several different jobs fail
/// in a row is therefore quarantined, and its failures do not count against the jobs. After the
/// quarantine the worker is probed with one job at a time.
#[derive(Debug, Clone, Default)]
pub struct FailureAttribution {
    /// Workers with recent failures, in quarantine or being probed, by name.
    workers: BTreeMap<Name, WorkerRecord>,
    /// Runs that have not ended, by job.
    runs: BTreeMap<Name, OngoingRun>,
    /// Workers of the failures that count against each job, oldest failure first.
    failed_on: BTreeMap<Name, Vec<Name>>,
}

/// A run whose end has not been reported.
#[derive(Debug, Clone)]
struct OngoingRun {
    worker: Name,
    started: Millis,
}

impl FailureAttribution {
    pub fn record_start(&mut self, job: &Name, worker: &Name, at: Millis) {
        self.runs.insert(job.clone(), OngoingRun { worker: worker.clone(), started: at });
    }

    /// Records the end of a run. A failure counts against the job, the worker, or both.
    pub fn record_end(&mut self, job: &Name, worker: &Name, outcome: RunOutcome, at: Millis) {
        let started = self.runs.remove(job).map_or(at, |run| run.started);
        match outcome {
            RunOutcome::Failed => self.record_failure(job, worker, started, at),
            RunOutcome::Completed => {
                self.failed_on.remove(job);
                self.record_success(worker, started);
            }
            RunOutcome::Stopped | RunOutcome::Lost => {}
        }
    }

    /// Forgets the failures of a job that is given up.
    pub fn forget_job(&mut self, job: &Name) {
        self.failed_on.remove(job);
    }

    /// Returns whether there are more than [`MAX_UNCHECKED_JOBS`] jobs with failures. If so, the
    /// caller should call [`retain_jobs`](Self::retain_jobs).
    pub fn is_large(&self) -> bool {
        self.failed_on.len() > MAX_UNCHECKED_JOBS
    }

    /// Forgets the failures of jobs that neither run nor wait.
    pub fn retain_jobs(&mut self, mut is_waiting: impl FnMut(&Name) -> bool) {
        let runs = &self.runs;
        self.failed_on.retain(|job, _| runs.contains_key(job) || is_waiting(job));
    }

    /// Forgets workers that are no longer in the fleet, and their runs, whose end is no longer
    /// reported.
    pub fn retain_workers(&mut self, is_present: impl Fn(&Name) -> bool) {
        self.workers.retain(|worker, _| is_present(worker));
        self.runs.retain(|_, run| is_present(&run.worker));
    }

    /// Counts long runs as successes of their workers, updates the trust in all workers, and
    /// returns a decision for each worker whose trust state changed.
    pub fn update_trust(&mut self, now: Millis) -> Vec<Decision> {
        let long_runs: Vec<(Name, Millis)> = self
            .runs
            .values()
            .filter(|run| {
                let record = self.workers.get(&run.worker);
                record.is_some_and(|record| now.since(run.started) >= record.success_after_ms())
            })
            .map(|run| (run.worker.clone(), run.started))
            .collect();
        for (worker, started) in long_runs {
            self.record_success(&worker, started);
        }
        let mut changed = Vec::new();
        for (worker, record) in &mut self.workers {
            let mut runs = self.runs.values().filter(|run| run.worker == *worker);
            let has_unproven_run = runs.any(|run| record.is_unproven(run.started));
            let Some(trust) = record.update_trust(now, has_unproven_run) else { continue };
            changed.push(trust_decision(worker, &trust, record));
        }
        for decision in &changed {
            if let Decision::Quarantine { worker, .. } = decision {
                self.clear_failures_on_worker(worker);
            }
        }
        self.workers.retain(|_, record| !record.is_clean());
        changed
    }

    /// Returns how many more jobs may be started on `worker` now, or `None` if there is no limit.
    pub fn remaining_job_starts(&self, worker: &Name) -> Option<u32> {
        let record = self.workers.get(worker)?;
        let limit = record.unproven_run_limit()?;
        let running = self
            .runs
            .values()
            .filter(|run| run.worker == *worker && record.is_unproven(run.started));
        Some(limit.saturating_sub(running.count() as u32))
    }

    /// Returns the workers for which [`remaining_job_starts`](Self::remaining_job_starts) returns
    /// a limit.
    pub fn limited_workers(&self) -> impl Iterator<Item = &Name> {
        self.workers.iter().filter(|(_, r)| r.unproven_run_limit().is_some()).map(|(name, _)| name)
    }

    /// Returns the workers on which failures of `job` count against the job, one entry for each
    /// failure, oldest first. Failures on a worker that is quarantined or probed do not count.
    pub fn failed_on(&self, job: &Name) -> &[Name] {
        self.failed_on.get(job).map_or(&[], Vec::as_slice)
    }

    fn record_failure(&mut self, job: &Name, worker: &Name, started: Millis, at: Millis) {
        let record = self.workers.entry(worker.clone()).or_default();
        let untrusted = record.is_untrusted();
        let failed_elsewhere =
            self.failed_on.get(job).is_some_and(|workers| workers.iter().any(|w| w != worker));
        // If the job also failed on another worker, this failure says little about this worker.
        if !failed_elsewhere || untrusted {
            record.record_failure(job, started, at);
        }
        if failed_elsewhere && !untrusted {
            self.clear_failures_of_job(job);
        }
        if !untrusted {
            self.failed_on.entry(job.clone()).or_default().push(worker.clone());
        }
    }

    /// Counts a run that began at `started` as evidence that its worker is healthy.
    fn record_success(&mut self, worker: &Name, started: Millis) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.record_success(started);
        }
    }

    /// Removes the failures of `job` from the records of all trusted workers on which it failed,
    /// because the job has failed on several workers.
    fn clear_failures_of_job(&mut self, job: &Name) {
        for worker in self.failed_on.get(job).into_iter().flatten() {
            if let Some(record) = self.workers.get_mut(worker).filter(|r| !r.is_untrusted()) {
                record.clear_failure(job);
            }
        }
    }

    /// Removes the failures on a quarantined worker from the jobs' records.
    fn clear_failures_on_worker(&mut self, worker: &Name) {
        self.failed_on.retain(|_, workers| {
            workers.retain(|name| name != worker);
            !workers.is_empty()
        });
    }
}

fn trust_decision(worker: &Name, trust: &TrustState, record: &WorkerRecord) -> Decision {
    let worker = worker.clone();
    match trust {
        TrustState::Quarantined { until, .. } => {
            let reason = Reason::WorkerFailsJobs { jobs: record.failed_jobs(), until: *until };
            Decision::Quarantine { worker, reason }
        }
        TrustState::Probing { .. } => Decision::Release { worker, reason: Reason::ProbeStarted },
        TrustState::Trusted => Decision::Release { worker, reason: Reason::ProbeSucceeded },
    }
}
