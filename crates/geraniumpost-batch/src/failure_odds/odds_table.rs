use std::collections::HashMap;

use geraniumpost_schema::Name;

use super::ClassOdds;
use crate::JobId;

/// Odds of failure that are assumed for a class before any of its runs ended.
const PRIOR_ODDS: f64 = 0.05;
/// Number of runs that the prior odds of a class weigh. Three failures in a row on one minion must
/// hardly raise the odds of a class of which nothing else is known.
const PRIOR_RUNS: f64 = 50.0;
/// Number of runs that a class's odds weigh for a job of the class. A job that fails because of its
/// own payload or input fails all its runs, so that few ends tell.
const JOB_PRIOR_RUNS: f64 = 2.0;
/// Weight below which counts are forgotten, in runs.
const MIN_WEIGHT: f64 = 0.01;
/// Number of entries from which forgotten entries are looked for when another one is added.
const MIN_ENTRIES_TO_PRUNE: usize = 256;

/// Odds with which runs fail on sound minions, by class of work and by job.
///
/// A class is an image, or a queue for steps without an image.
#[derive(Debug, Default)]
pub struct FailureOdds {
    classes: HashMap<Name, ClassOdds>,
    jobs: HashMap<JobId, ClassOdds>,
    /// Number of entries at which both tables are pruned next.
    prune_at: usize,
}

impl FailureOdds {
    /// Returns the odds with which the next run of a job fails on a sound minion.
    ///
    /// After failures of one job the odds of that job rise, so that further failures of the same
    /// job say little about the minions on which they happen.
    pub fn of_run(&self, class: &Name, job: JobId, now_ms: u64) -> f64 {
        let of_class = self.of_class(class, now_ms);
        self.jobs.get(&job).map_or(of_class, |odds| odds.mean(of_class, JOB_PRIOR_RUNS, now_ms))
    }

    /// Returns the odds with which runs of a class fail on sound minions.
    pub fn of_class(&self, class: &Name, now_ms: u64) -> f64 {
        let odds = self.classes.get(class);
        odds.map_or(PRIOR_ODDS, |odds| odds.mean(PRIOR_ODDS, PRIOR_RUNS, now_ms))
    }

    /// Counts the end of a run; `weight` is the probability that its minion is sound.
    pub fn record_end(&mut self, class: &Name, job: JobId, failed: bool, weight: f64, now_ms: u64) {
        self.prune(now_ms);
        self.classes.entry(class.clone()).or_default().record_end(failed, weight, now_ms);
        self.jobs.entry(job).or_default().record_end(failed, weight, now_ms);
    }

    /// Drops entries whose counts have decayed, whenever the number of entries has doubled.
    fn prune(&mut self, now_ms: u64) {
        let entries = self.classes.len() + self.jobs.len();
        if entries < self.prune_at.max(MIN_ENTRIES_TO_PRUNE) {
            return;
        }
        self.classes.retain(|_, odds| odds.weight(now_ms) >= MIN_WEIGHT);
        self.jobs.retain(|_, odds| odds.weight(now_ms) >= MIN_WEIGHT);
        self.prune_at = 2 * (self.classes.len() + self.jobs.len());
    }
}
