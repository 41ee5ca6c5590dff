use geraniumpost_schema::Resources;

use super::draft::{Draft, DraftRow};
use super::interference_model::pressing;
use super::nearness::Nearness;
use super::row::NO_SERVICE;
use super::{WorkerKey, amounts};

/// Candidates that a decision names.
const NAMED: usize = 3;
/// Weight of packing: a worker that the job fills is taken before one that it breaks up.
const PACKING: f64 = 0.005;
/// Weight of each task of the same customer and class on the rack, and half of it in the domain.
const SPREADING: f64 = 0.01;
/// Processors that a slope is counted for, in thousandths.
const UNIT_MILLI_CPUS: f64 = 16_000.0;

/// One scan over the workers for a job.
#[derive(Debug)]
pub struct Scan<'a> {
    /// What to reserve.
    pub need: &'a Resources,
    /// Harm slope of the class for each service.
    pub slopes: &'a [f64],
    /// Workers that must not be taken.
    pub excluded: &'a [WorkerKey],
    /// Worker kept for this job, if one is.
    pub kept: Option<WorkerKey>,
    /// Whether the job may use room kept free for urgent ones.
    pub urgent: bool,
    /// How many tasks of the same customer and class run, or are about to, near each worker.
    pub nearness: &'a Nearness,
}

/// What a scan found.
#[derive(Debug, Clone, Default)]
pub struct Found {
    /// Workers that had room.
    pub weighed: u32,
    /// The best of them, best first.
    pub best: Vec<Scored>,
}

/// A worker with its score.
#[derive(Debug, Clone, Copy)]
pub struct Scored {
    /// Index in the draft.
    pub at: usize,
    /// Harm plus tie-breakers; lower is better.
    pub score: f64,
    /// What the job adds to the predicted p99, in targets.
    pub added: f64,
    /// Predicted p99 with the job, in targets.
    pub after: f64,
}

impl Scan<'_> {
    /// Weighs every worker with room.
    pub fn run(&self, draft: &Draft) -> Found {
        let mut found = Found::default();
        for (at, row) in draft.rows.iter().enumerate() {
            if !self.may_take(row, &draft.room) {
                continue;
            }
            found.weighed += 1;
            found.offer(self.score(at, row));
        }
        found
    }

    fn may_take(&self, row: &DraftRow, room: &Resources) -> bool {
        row.limit > 0
            && amounts::fits(self.need, &row.free)
            && amounts::fits(&self.with_kept(row, room), &row.free)
            && !self.excluded.contains(&row.key)
    }

    /// Returns the need together with what must stay free for other jobs.
    fn with_kept(&self, row: &DraftRow, room: &Resources) -> Resources {
        let mut need = *self.need;
        if self.kept != Some(row.key) {
            need = amounts::plus(&need, &row.held);
        }
        if row.spare && !self.urgent {
            need = amounts::plus(&need, room);
        }
        need
    }

    fn score(&self, at: usize, row: &DraftRow) -> Scored {
        let added = self.added(row);
        let after = row.forecast + added;
        let left = 1.0 - amounts::dominant_share(self.need, &row.free);
        let score =
            harm(after) - harm(row.forecast) + PACKING * left + SPREADING * self.nearness.of(row);
        Scored { at, score, added, after }
    }

    /// Returns what the job would add to the service's p99, in targets.
    pub fn added(&self, row: &DraftRow) -> f64 {
        if row.service == NO_SERVICE {
            return 0.0;
        }
        let slope = self.slopes.get(row.service as usize).copied().unwrap_or(0.0);
        slope * self.need.milli_cpus as f64 / UNIT_MILLI_CPUS * pressing(row.load)
    }
}

/// Returns the harm of a p99 given in targets.
///
/// It is convex, as the last tenth before the target hurts more than the first: two noisy tasks go
/// to two workers, and what must be noisy somewhere goes where the service is idle.
fn harm(p99: f64) -> f64 {
    p99 * p99
}

impl Found {
    fn offer(&mut self, scored: Scored) {
        let place = self.best.iter().position(|known| scored.score < known.score);
        let place = place.unwrap_or(self.best.len());
        if place < NAMED {
            self.best.truncate(NAMED - 1);
            self.best.insert(place, scored);
        }
    }
}
