use geraniumpost_schema::Resources;

use super::interference_model::{REFERENCE_TASK_MILLI_CPUS, load_factor};
use super::planned_fleet::{PlannedFleet, PlannedWorker};
use super::weighted_location_counts::WeightedLocationCounts;
use super::worker_row::NO_SERVICE;
use super::{WorkerKey, amounts};

/// Maximum number of workers that a scan returns and that the reason of a start names.
const MAX_CANDIDATES: usize = 3;
/// Weight of the share of free capacity that the job leaves unused. This term lets jobs fill one
/// worker before they use another worker.
const PACKING_WEIGHT: f64 = 0.005;
/// Weight of each task of the same customer and class on the same rack. Each task in the same
/// failure domain counts half.
const SPREADING_WEIGHT: f64 = 0.01;

/// Search over all workers for those with the lowest scores for a job.
#[derive(Debug)]
pub struct Scan<'a> {
    /// Resources to reserve for the job.
    pub need: &'a Resources,
    /// Interference slopes of the job's class by service index.
    pub slopes: &'a [f64],
    /// Workers that are not considered.
    pub skipped: &'a [WorkerKey],
    /// The worker on which resources are reserved for this job, if any.
    pub reserved_worker: Option<WorkerKey>,
    /// Whether the job may use capacity that is kept free for urgent jobs.
    pub urgent: bool,
    /// Running and planned tasks of the same customer and class, by location.
    pub location_counts: &'a WeightedLocationCounts,
}

/// Number of workers with capacity that a scan found, and the best of them.
#[derive(Debug, Clone, Default)]
pub struct ScanResult {
    /// Number of workers with capacity.
    pub considered: u32,
    /// Up to [`MAX_CANDIDATES`] of these workers with the lowest scores, best first.
    pub best: Vec<ScoredWorker>,
}

/// A worker with capacity for the job, and the predicted effect of a start on it.
#[derive(Debug, Clone, Copy)]
pub struct ScoredWorker {
    /// Index in [`PlannedFleet::rows`].
    pub index: usize,
    /// Increase in the latency cost plus small terms for packing and spreading; the lowest is the
    /// best.
    pub score: f64,
    /// Increase of the service's predicted p99 by the job, as a multiple of the target.
    pub added_p99: f64,
    /// Predicted p99 of the service with the job, as a multiple of the target.
    pub predicted_p99: f64,
}

impl Scan<'_> {
    /// Scores every worker that has capacity and is not skipped.
    pub fn run(&self, planned: &PlannedFleet) -> ScanResult {
        let mut result = ScanResult::default();
        for (index, row) in planned.rows.iter().enumerate() {
            if !self.is_eligible(row, &planned.urgent_capacity) {
                continue;
            }
            result.considered += 1;
            result.insert(self.score(index, row));
        }
        result
    }

    fn is_eligible(&self, row: &PlannedWorker, urgent_capacity: &Resources) -> bool {
        row.remaining_job_starts > 0
            && amounts::fits(self.need, &row.free)
            && amounts::fits(&self.with_reservations(row, urgent_capacity), &row.free)
            && !self.skipped.contains(&row.key)
    }

    /// Returns the need plus the capacity on this worker that must stay free for other jobs.
    fn with_reservations(&self, row: &PlannedWorker, urgent_capacity: &Resources) -> Resources {
        let mut need = *self.need;
        if self.reserved_worker != Some(row.key) {
            need = amounts::plus(&need, &row.reserved);
        }
        if row.keeps_urgent_capacity && !self.urgent {
            need = amounts::plus(&need, urgent_capacity);
        }
        need
    }

    fn score(&self, index: usize, row: &PlannedWorker) -> ScoredWorker {
        let added_p99 = self.added_p99(row);
        let predicted_p99 = row.forecast_p99 + added_p99;
        let unused = 1.0 - amounts::dominant_share(self.need, &row.free);
        let score = latency_cost(predicted_p99) - latency_cost(row.forecast_p99)
            + PACKING_WEIGHT * unused
            + SPREADING_WEIGHT * self.location_counts.weighted_count(row);
        ScoredWorker { index, score, added_p99, predicted_p99 }
    }

    /// Returns the predicted increase of the service's p99 by the job, as a multiple of the target;
    /// 0 if the worker has no service.
    pub fn added_p99(&self, row: &PlannedWorker) -> f64 {
        if row.service == NO_SERVICE {
            return 0.0;
        }
        let slope = self.slopes.get(row.service as usize).copied().unwrap_or(0.0);
        slope * self.need.milli_cpus as f64 / REFERENCE_TASK_MILLI_CPUS * load_factor(row.load)
    }
}

/// Returns the cost of a p99, given as a multiple of the target.
///
/// The cost is convex because an increase near the target is worse than an increase far below the
/// target. Two noisy tasks are therefore placed on different workers, and a single noisy task is
/// placed on a worker whose service has little load.
fn latency_cost(p99: f64) -> f64 {
    p99 * p99
}

impl ScanResult {
    /// Inserts a worker by score, if the worker is among the [`MAX_CANDIDATES`] best so far.
    fn insert(&mut self, scored: ScoredWorker) {
        let position = self.best.iter().position(|known| scored.score < known.score);
        let position = position.unwrap_or(self.best.len());
        if position < MAX_CANDIDATES {
            self.best.truncate(MAX_CANDIDATES - 1);
            self.best.insert(position, scored);
        }
    }
}
