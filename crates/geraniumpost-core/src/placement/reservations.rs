use std::collections::HashMap;

use geraniumpost_schema::{Name, Resources};

use super::WorkerKey;
use crate::Millis;

/// Resources on workers that are reserved for waiting jobs: for an urgent job until the tasks
/// evicted for it have stopped, and for a job that has waited long until enough tasks on the worker
/// have ended.
#[derive(Debug, Clone, Default)]
pub struct Reservations {
    by_job: HashMap<Name, Reservation>,
}

/// Resources on one worker that are reserved for a waiting job. Other jobs may use the rest of the
/// worker.
#[derive(Debug, Clone)]
pub struct Reservation {
    pub worker: WorkerKey,
    /// The job's customer, whose quota the reservation also uses.
    pub customer: Name,
    /// Resources that are reserved for the job, at least its declared need.
    pub need: Resources,
    /// Time at which the reservation expires.
    pub until: Millis,
    /// Whether tasks were evicted for the job.
    pub awaits_eviction: bool,
}

impl Reservations {
    /// Drops reservations that have expired, whose job no longer waits, or whose worker no longer
    /// admits jobs.
    pub fn retain_valid(
        &mut self,
        now: Millis,
        admits_jobs: impl Fn(WorkerKey) -> bool,
        is_waiting: impl Fn(&Name) -> bool,
    ) {
        self.by_job.retain(|job, reservation| {
            now < reservation.until && is_waiting(job) && admits_jobs(reservation.worker)
        });
    }

    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    pub fn get(&self, job: &Name) -> Option<&Reservation> {
        self.by_job.get(job)
    }

    pub fn all(&self) -> impl Iterator<Item = &Reservation> {
        self.by_job.values()
    }

    /// Returns the number of reservations for jobs that have waited long.
    pub fn count_without_eviction(&self) -> usize {
        self.by_job.values().filter(|reservation| !reservation.awaits_eviction).count()
    }

    pub fn insert(&mut self, job: &Name, reservation: Reservation) {
        self.by_job.insert(job.clone(), reservation);
    }

    pub fn remove(&mut self, job: &Name) -> Option<Reservation> {
        self.by_job.remove(job)
    }
}
