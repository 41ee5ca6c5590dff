use std::collections::HashMap;

use geraniumpost_schema::{Name, Resources};

use super::{Fleet, WorkerKey};
use crate::Millis;

/// Workers reserved for waiting jobs: for an urgent job until evicted tasks have stopped, for a
/// long-waiting one until enough tasks on the worker have ended.
#[derive(Debug, Clone, Default)]
pub struct Reservations {
    by_job: HashMap<Name, Reservation>,
}

/// A worker reserved for a job.
#[derive(Debug, Clone)]
pub struct Reservation {
    pub worker: WorkerKey,
    /// The job's customer, in whose quota the resources stay reserved until the job starts.
    pub customer: Name,
    /// Resources that are reserved.
    pub need: Resources,
    /// When the reservation expires.
    pub until: Millis,
    /// Whether tasks were evicted for it.
    pub awaits_eviction: bool,
}

impl Reservations {
    /// Drops reservations that have expired, or whose job no longer waits, or whose worker no
    /// longer accepts work.
    pub fn retain_valid(&mut self, now: Millis, fleet: &Fleet, is_waiting: impl Fn(&Name) -> bool) {
        self.by_job.retain(|job, reservation| {
            now < reservation.until
                && is_waiting(job)
                && fleet.rows().get(reservation.worker).is_some_and(|row| row.accepts_work)
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

    /// Returns the number of reservations for which no tasks were evicted.
    pub fn without_eviction(&self) -> usize {
        self.by_job.values().filter(|reservation| !reservation.awaits_eviction).count()
    }

    pub fn insert(&mut self, job: &Name, reservation: Reservation) {
        self.by_job.insert(job.clone(), reservation);
    }

    pub fn remove(&mut self, job: &Name) -> Option<Reservation> {
        self.by_job.remove(job)
    }
}
