use geraniumpost_schema::Resources;

use super::interference_model::load_factor;
use super::planned_fleet::{PlannedFleet, PlannedWorker};
use super::proximity::Proximity;
use super::worker_row::NO_SERVICE;
use super::{WorkerKey, amounts};

/// Number of candidates that a decision names.
const MAX_CANDIDATES: usize = 3;
/// Weight of the unused share, by which a worker that the job fills is preferred to one with much
/// free capacity.
const PACKING_WEIGHT: f64 = 0.005;
/// Weight of each task of the same customer and class on the same rack; tasks in the same failure
/// domain count half.
const SPREADING_WEIGHT: f64 = 0.01;
/// Processors, in thousandths, to which a slope refers.
const UNIT_MILLI_CPUS: f64 = 16_000.0;

/// A scan over the workers for one job.
#[derive(Debug)]
pub struct Scan<'a> {
    /// Resources to reserve.
    pub need: &'a Resources,
    /// Interference slope of the class by service number.
    pub slopes: &'a [f64],
    /// Workers that must not be chosen.
    pub excluded: &'a [WorkerKey],
    /// The worker reserved for this job, if any.
    pub reserved: Option<WorkerKey>,
    /// Whether the job may use capacity that is kept free for urgent jobs.
    pub urgent: bool,
    /// How many tasks of the same customer and class run, or are planned, near each worker.
    pub proximity: &'a Proximity,
}

/// The outcome of a scan.
#[derive(Debug, Clone, Default)]
pub struct ScanResult {
    /// Number of workers with capacity.
    pub considered: u32,
    /// The best of them, best first.
    pub best: Vec<ScoredWorker>,
}

/// A worker with its score.
#[derive(Debug, Clone, Copy)]
pub struct ScoredWorker {
    /// Index in [`PlannedFleet::rows`].
    pub index: usize,
    /// Increase in the latency cost plus tie-breakers; lower is better.
    pub score: f64,
    /// What the job adds to the predicted p99, in targets.
    pub added: f64,
    /// Predicted p99 with the job, in targets.
    pub predicted: f64,
}

impl Scan<'_> {
    /// Scores every worker with capacity.
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
        row.job_limit > 0
            && amounts::fits(self.need, &row.free)
            && amounts::fits(&self.with_reservations(row, urgent_capacity), &row.free)
            && !self.excluded.contains(&row.key)
    }

    /// Returns the need together with the capacity that must stay free for other jobs.
    fn with_reservations(&self, row: &PlannedWorker, urgent_capacity: &Resources) -> Resources {
        let mut need = *self.need;
        if self.reserved != Some(row.key) {
            need = amounts::plus(&need, &row.reserved);
        }
        if row.keeps_urgent_capacity && !self.urgent {
            need = amounts::plus(&need, urgent_capacity);
        }
        need
    }

    fn score(&self, index: usize, row: &PlannedWorker) -> ScoredWorker {
        let added = self.added(row);
        let predicted = row.forecast + added;
        let unused = 1.0 - amounts::dominant_share(self.need, &row.free);
        let score = latency_cost(predicted) - latency_cost(row.forecast)
            + PACKING_WEIGHT * unused
            + SPREADING_WEIGHT * self.proximity.weighted_count(row);
        ScoredWorker { index, score, added, predicted }
    }

    /// Returns what the job would add to the service's p99, in targets.
    pub fn added(&self, row: &PlannedWorker) -> f64 {
        if row.service == NO_SERVICE {
            return 0.0;
        }
        let slope = self.slopes.get(row.service as usize).copied().unwrap_or(0.0);
        slope * self.need.milli_cpus as f64 / UNIT_MILLI_CPUS * load_factor(row.load)
    }
}

/// Returns the cost of a p99 given in targets.
///
/// It is convex, as an increase near the target hurts more than one far below it. Two noisy tasks
/// thus go to two workers, and a noisy task goes where the service is idle.
fn latency_cost(p99: f64) -> f64 {
    p99 * p99
}

impl ScanResult {
    fn insert(&mut self, scored: ScoredWorker) {
        let position = self.best.iter().position(|known| scored.score < known.score);
        let position = position.unwrap_or(self.best.len());
        if position < MAX_CANDIDATES {
            self.best.truncate(MAX_CANDIDATES - 1);
            self.best.insert(position, scored);
        }
    }
}
