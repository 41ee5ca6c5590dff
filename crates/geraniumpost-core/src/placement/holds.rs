use std::collections::HashMap;

use geraniumpost_schema::{Name, Resources};

use super::{Fleet, WorkerKey};
use crate::Millis;

/// Workers kept for a job: for an urgent one until evicted tasks have stopped, for one that has
/// starved until enough of the tasks there have ended.
#[derive(Debug, Clone, Default)]
pub struct Holds {
    by_job: HashMap<Name, Hold>,
}

/// A worker kept for a job.
#[derive(Debug, Clone)]
pub struct Hold {
    /// The worker.
    pub worker: WorkerKey,
    /// The job's customer, whose quota must last until the job starts.
    pub customer: Name,
    /// What is kept there.
    pub need: Resources,
    /// When the hold lapses.
    pub until: Millis,
    /// Whether tasks were evicted for it.
    pub evicting: bool,
}

impl Holds {
    /// Drops holds that have lapsed, or whose job or worker is gone.
    pub fn review(&mut self, now: Millis, fleet: &Fleet, waits: impl Fn(&Name) -> bool) {
        self.by_job.retain(|job, hold| {
            now < hold.until && waits(job) && fleet.rows().get(hold.worker).is_some_and(|r| r.open)
        });
    }

    /// Returns whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Returns the hold of a job.
    pub fn of(&self, job: &Name) -> Option<&Hold> {
        self.by_job.get(job)
    }

    /// Returns all holds.
    pub fn all(&self) -> impl Iterator<Item = &Hold> {
        self.by_job.values()
    }

    /// Returns how many workers are kept without evictions.
    pub fn patient(&self) -> usize {
        self.by_job.values().filter(|hold| !hold.evicting).count()
    }

    /// Keeps a worker for a job.
    pub fn put(&mut self, job: &Name, hold: Hold) {
        self.by_job.insert(job.clone(), hold);
    }

    /// Gives a job's worker free.
    pub fn drop(&mut self, job: &Name) -> Option<Hold> {
        self.by_job.remove(job)
    }
}
