use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::worker_record::{TrustState, WorkerRecord};
use super::{Decision, Reason, RunOutcome};
use crate::Millis;

/// Number of jobs with failures above which jobs that neither run nor wait are dropped.
const RETAIN_THRESHOLD: usize = 64;

/// Distinguishes a worker that fails every job from a job that fails on every worker.
///
/// A worker on which runs fail at once always looks free, so it attracts job after job, and sound
/// jobs are given up after their attempts. A worker that fails several different jobs in a row is
/// therefore quarantined, its failures are not counted against the jobs, and it is then probed with
/// one job at a time.
#[derive(Debug, Clone, Default)]
pub struct FailureAttribution {
    workers: BTreeMap<Name, WorkerRecord>,
    runs: BTreeMap<Name, Run>,
    failed_on: BTreeMap<Name, Vec<Name>>,
}

/// A run that has not ended.
#[derive(Debug, Clone)]
struct Run {
    worker: Name,
    started: Millis,
}

impl FailureAttribution {
    pub fn record_start(&mut self, job: &Name, worker: &Name, at: Millis) {
        self.runs.insert(job.clone(), Run { worker: worker.clone(), started: at });
    }

    /// Attributes the end of a run to its job or its worker.
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

    /// Forgets the failures of a job that will not run again.
    pub fn forget_job(&mut self, job: &Name) {
        self.failed_on.remove(job);
    }

    /// Returns whether there are enough records for [`retain_jobs`](Self::retain_jobs) to be worth
    /// its cost.
    pub fn is_large(&self) -> bool {
        self.failed_on.len() > RETAIN_THRESHOLD
    }

    /// Forgets the failures of jobs that neither run nor wait.
    pub fn retain_jobs(&mut self, mut is_waiting: impl FnMut(&Name) -> bool) {
        let runs = &self.runs;
        self.failed_on.retain(|job, _| runs.contains_key(job) || is_waiting(job));
    }

    /// Forgets workers that have left the fleet, with their runs whose end was never reported.
    pub fn retain_workers(&mut self, is_present: impl Fn(&Name) -> bool) {
        self.workers.retain(|worker, _| is_present(worker));
        self.runs.retain(|_, run| is_present(&run.worker));
    }

    /// Counts long runs as successes of their workers and returns a decision for each worker whose
    /// trust state changed.
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
            let pending = runs.any(|run| record.is_unproven(run.started));
            let Some(trust) = record.update_trust(now, pending) else { continue };
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

    /// Returns how many more jobs a worker may be given now, or none if that is not limited.
    pub fn job_limit(&self, worker: &Name) -> Option<u32> {
        let record = self.workers.get(worker)?;
        let limit = record.concurrency_limit()?;
        let running = self
            .runs
            .values()
            .filter(|run| run.worker == *worker && record.is_unproven(run.started));
        Some(limit.saturating_sub(running.count() as u32))
    }

    /// Returns the workers whose number of jobs is limited.
    pub fn limited(&self) -> impl Iterator<Item = &Name> {
        self.workers.iter().filter(|(_, r)| r.concurrency_limit().is_some()).map(|(name, _)| name)
    }

    /// Returns the workers on which a job failed, without those that were quarantined.
    pub fn failed_on(&self, job: &Name) -> &[Name] {
        self.failed_on.get(job).map_or(&[], Vec::as_slice)
    }

    fn record_failure(&mut self, job: &Name, worker: &Name, started: Millis, at: Millis) {
        let record = self.workers.entry(worker.clone()).or_default();
        let untrusted = record.is_untrusted();
        let failed_elsewhere =
            self.failed_on.get(job).is_some_and(|workers| workers.iter().any(|w| w != worker));
        // A job that also failed on another worker is weak evidence against this one.
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

    /// Counts a run that began at `started` as evidence that its worker is sound.
    fn record_success(&mut self, worker: &Name, started: Millis) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.record_success(started);
        }
    }

    /// Removes a job's failures from its workers' records once it has failed on several.
    fn clear_failures_of_job(&mut self, job: &Name) {
        for worker in self.failed_on.get(job).into_iter().flatten() {
            if let Some(record) = self.workers.get_mut(worker).filter(|r| !r.is_untrusted()) {
                record.clear_failure(job);
            }
        }
    }

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
