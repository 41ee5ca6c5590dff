use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::worker_record::{Standing, WorkerRecord};
use super::{Decision, Reason, RunOutcome};
use crate::Millis;

/// Jobs with failures over which those that are gone are looked for.
const MANY: usize = 64;

/// Tells a worker that fails everything from a job that fails everywhere.
///
/// A worker that fails at once always looks free, so it would swallow the whole queue: one would
/// notice by jobs that are given up after their attempts though nothing is wrong with them. So a
/// worker that fails several different jobs in a row is set aside, its failures are not held
/// against the jobs, and it is probed with one job at a time.
#[derive(Debug, Clone, Default)]
pub struct Blame {
    workers: BTreeMap<Name, WorkerRecord>,
    runs: BTreeMap<Name, Run>,
    failed_on: BTreeMap<Name, Vec<Name>>,
}

/// A run that has not ended.
#[derive(Debug, Clone)]
struct Run {
    worker: Name,
    began: Millis,
}

impl Blame {
    /// Notes a start.
    pub fn start(&mut self, job: &Name, worker: &Name, at: Millis) {
        self.runs.insert(job.clone(), Run { worker: worker.clone(), began: at });
    }

    /// Notes an end.
    pub fn end(&mut self, job: &Name, worker: &Name, outcome: RunOutcome, at: Millis) {
        let began = self.runs.remove(job).map_or(at, |run| run.began);
        match outcome {
            RunOutcome::Failed => self.fail(job, worker, began, at),
            RunOutcome::Completed => {
                self.failed_on.remove(job);
                self.vouch(worker, began);
            }
            RunOutcome::Stopped | RunOutcome::Lost => {}
        }
    }

    /// Forgets a job that will not run again.
    pub fn forget(&mut self, job: &Name) {
        self.failed_on.remove(job);
    }

    /// Returns whether so much is remembered that it is worth looking for what may be forgotten.
    pub fn is_large(&self) -> bool {
        self.failed_on.len() > MANY
    }

    /// Forgets jobs that neither run nor wait.
    pub fn keep(&mut self, mut known: impl FnMut(&Name) -> bool) {
        let runs = &self.runs;
        self.failed_on.retain(|job, _| runs.contains_key(job) || known(job));
    }

    /// Forgets workers that are gone, with the runs whose end was never told.
    pub fn keep_workers(&mut self, is_there: impl Fn(&Name) -> bool) {
        self.workers.retain(|worker, _| is_there(worker));
        self.runs.retain(|_, run| is_there(&run.worker));
    }

    /// Moves time on: lets long runs speak for their workers and says whose standing changed.
    pub fn review(&mut self, now: Millis) -> Vec<Decision> {
        let old: Vec<(Name, Millis)> = self
            .runs
            .values()
            .filter(|run| {
                let record = self.workers.get(&run.worker);
                record.is_some_and(|record| now.since(run.began) >= record.sound_after())
            })
            .map(|run| (run.worker.clone(), run.began))
            .collect();
        for (worker, began) in old {
            self.vouch(&worker, began);
        }
        let mut changed = Vec::new();
        for (worker, record) in &mut self.workers {
            let mut on = self.runs.values().filter(|run| run.worker == *worker);
            let pending = on.any(|run| record.counts_since(run.began));
            let Some(standing) = record.review(now, pending) else { continue };
            changed.push(announce(worker, &standing, record));
        }
        for decision in &changed {
            if let Decision::Quarantine { worker, .. } = decision {
                self.acquit_jobs_of(worker);
            }
        }
        self.workers.retain(|_, record| !record.is_clean());
        changed
    }

    /// Returns how many more jobs a worker may be given now, if it is not trusted.
    pub fn allowance(&self, worker: &Name) -> Option<u32> {
        let record = self.workers.get(worker)?;
        let most = record.most_at_once()?;
        let running = self
            .runs
            .values()
            .filter(|run| run.worker == *worker && record.counts_since(run.began));
        Some(most.saturating_sub(running.count() as u32))
    }

    /// Returns the workers that are not trusted.
    pub fn doubted(&self) -> impl Iterator<Item = &Name> {
        self.workers.iter().filter(|(_, r)| r.most_at_once().is_some()).map(|(name, _)| name)
    }

    /// Returns the workers that a job failed on and that are not themselves to blame.
    pub fn failed_on(&self, job: &Name) -> &[Name] {
        self.failed_on.get(job).map_or(&[], Vec::as_slice)
    }

    fn fail(&mut self, job: &Name, worker: &Name, began: Millis, at: Millis) {
        let record = self.workers.entry(worker.clone()).or_default();
        let set_aside = record.is_set_aside();
        let elsewhere = self.failed_on.get(job).is_some_and(|on| on.iter().any(|w| w != worker));
        // A job that failed elsewhere too says little about this worker.
        if !elsewhere || set_aside {
            record.fail(job, began, at);
        }
        if elsewhere && !set_aside {
            self.acquit_workers_of(job);
        }
        if !set_aside {
            self.failed_on.entry(job.clone()).or_default().push(worker.clone());
        }
    }

    /// Takes a run that began at `began` as evidence that its worker is sound.
    fn vouch(&mut self, worker: &Name, began: Millis) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.vouch(began);
        }
    }

    /// Takes a job's failures back from its workers once it has failed on several.
    fn acquit_workers_of(&mut self, job: &Name) {
        for worker in self.failed_on.get(job).into_iter().flatten() {
            if let Some(record) = self.workers.get_mut(worker).filter(|r| !r.is_set_aside()) {
                record.acquit(job);
            }
        }
    }

    fn acquit_jobs_of(&mut self, worker: &Name) {
        self.failed_on.retain(|_, on| {
            on.retain(|name| name != worker);
            !on.is_empty()
        });
    }
}

fn announce(worker: &Name, standing: &Standing, record: &WorkerRecord) -> Decision {
    let worker = worker.clone();
    match standing {
        Standing::Quarantined { until, .. } => {
            let reason = Reason::FailsJobs { jobs: record.failed_jobs(), until: *until };
            Decision::Quarantine { worker, reason }
        }
        Standing::Probing { .. } => Decision::Release { worker, reason: Reason::Probed },
        Standing::Trusted => Decision::Release { worker, reason: Reason::Sound },
    }
}
