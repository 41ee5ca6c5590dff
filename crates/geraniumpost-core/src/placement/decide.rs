use geraniumpost_schema::{Priority, Resources};
use rand::Rng;

use super::job_context::JobContext;
use super::planned_fleet::PlannedFleet;
use super::scan::{Scan, ScanResult, ScoredWorker};
use super::weighted_location_counts::WeightedLocationCounts;
use super::{Candidate, Decision, Fleet, PlacementRequest, Placer, Reason, WorkerKey, amounts};
use crate::Millis;

/// Predicted p99, as a multiple of the target, above which a job waits for a better worker.
const MAX_PREDICTED_P99_RATIO: f64 = 0.85;
/// Predicted increase of the p99, as a multiple of the target, up to which a job starts without
/// waiting for a better worker.
const NEGLIGIBLE_INTERFERENCE: f64 = 0.02;
/// Maximum time for which a normal job waits for a worker with less predicted interference.
const NORMAL_MAX_WAIT_MS: u64 = 600_000;
/// Maximum time for which a scavenger job waits for a worker with less predicted interference.
const SCAVENGER_MAX_WAIT_MS: u64 = 900_000;
/// Average number of starts per start that may use a candidate other than the best, so that the
/// model also learns about pairs of class and service that placement would otherwise avoid.
const EXPLORE_ONE_IN: u32 = 50;
/// Predicted p99, as a multiple of the target, below which a candidate other than the best may be
/// used.
const EXPLORE_MAX_P99_RATIO: f64 = 0.7;

impl Placer {
    /// Returns the decisions on one job: any evictions for the job, then its start, wait, rejection
    /// or failure.
    pub(super) fn decide<R: Rng + ?Sized>(
        &mut self,
        now: Millis,
        request: &PlacementRequest,
        fleet: &Fleet,
        planned: &mut PlannedFleet,
        rng: &mut R,
    ) -> Vec<Decision> {
        if let Some(decision) = self.decide_ineligible(request, fleet) {
            return vec![decision];
        }
        if now < request.not_before {
            return vec![wait_decision(request, Reason::BackOff { until: request.not_before })];
        }
        let context = JobContext { now, request, need: self.reserved_need(request, fleet), fleet };
        if let Some(reason) = self.quota_reason(&context, planned) {
            self.release_reservation(request, planned);
            return vec![wait_decision(request, reason)];
        }
        if self.can_skip_scan(&context, planned) {
            return vec![self.wait_or_reserve(&context, planned)];
        }
        let result = self.find_workers(&context, planned);
        if result.best.is_empty() {
            return self.handle_no_capacity(&context, planned);
        }
        vec![self.start_or_wait(&context, &result, planned, rng)]
    }

    /// Returns the resources to reserve for a job: the estimate from measured usage, limited by the
    /// quota and by the largest allowance, in memory, among those that the declared need fits into.
    /// The result is never below the declared need.
    fn reserved_need(&self, request: &PlacementRequest, fleet: &Fleet) -> Resources {
        let Some(largest) = fleet.largest_allowance_for(&request.need) else { return request.need };
        let quota =
            self.policy.customer(&request.customer).map_or(largest, |settings| settings.quota);
        self.usage_estimates.estimate(request, &amounts::component_min(&largest, &quota))
    }

    /// Returns the reason for waiting if the start would exceed the customer's quota. Allocations
    /// include running tasks, planned starts, and reservations of other jobs.
    fn quota_reason(&self, context: &JobContext<'_>, planned: &PlannedFleet) -> Option<Reason> {
        let customer = &context.request.customer;
        let quota = self.policy.customer(customer)?.quota;
        let own = self
            .reservations
            .get(&context.request.job)
            .map_or(amounts::NONE, |reservation| reservation.need);
        let allocated = amounts::minus(&planned.allocated_to(customer, context.fleet), &own);
        let resource =
            amounts::exceeded_resource(&amounts::plus(&allocated, &context.need), &quota)?;
        Some(Reason::QuotaReached { customer: customer.clone(), resource })
    }

    /// Returns whether the scan can be skipped, because no worker had capacity for a need that is
    /// no larger in any resource. Urgent jobs and jobs with a reservation are always scanned.
    fn can_skip_scan(&self, context: &JobContext<'_>, planned: &PlannedFleet) -> bool {
        context.request.priority != Priority::Urgent
            && self.reservations.get(&context.request.job).is_none()
            && planned.is_known_unfit(&context.need)
    }

    /// Scores the workers with capacity that the job should not avoid. If there are none, workers
    /// on which the job failed are scored too.
    fn find_workers(&self, context: &JobContext<'_>, planned: &mut PlannedFleet) -> ScanResult {
        let (request, fleet) = (context.request, context.fleet);
        let compute = || {
            let class = self.model.class_index(&request.class);
            fleet.service_names().iter().map(|name| self.model.slope(name, class)).collect()
        };
        let slopes = planned.slopes(&request.class, compute).to_vec();
        let avoided = self.avoided_workers(context);
        let location_counts = [
            fleet.location_counts(&request.customer, &request.class),
            planned.location_counts(request),
        ];
        let mut scan = Scan {
            need: &context.need,
            slopes: &slopes,
            skipped: &avoided,
            reserved_worker: self
                .reservations
                .get(&request.job)
                .map(|reservation| reservation.worker),
            urgent: request.priority == Priority::Urgent,
            location_counts: &WeightedLocationCounts::new(fleet.location_count(), &location_counts),
        };
        let result = scan.run(planned);
        if !result.best.is_empty() || self.failures.failed_on(&request.job).is_empty() {
            return result;
        }
        // In a small fleet the job may have failed on every worker with capacity. The job may then
        // retry on one of these workers.
        let excluded = excluded_workers(context);
        scan.skipped = &excluded;
        scan.run(planned)
    }

    /// Returns the workers that a job should avoid: the workers that its request excludes and the
    /// workers on which failures count against the job.
    pub(super) fn avoided_workers(&self, context: &JobContext<'_>) -> Vec<WorkerKey> {
        let failed_on = self.failures.failed_on(&context.request.job).iter();
        let mut avoided = excluded_workers(context);
        avoided.extend(failed_on.filter_map(|name| context.fleet.key(name)));
        avoided
    }

    /// Starts a job on the best worker of the scan, or occasionally on another candidate so that
    /// the model learns. The job waits instead if its predicted interference is too high.
    fn start_or_wait<R: Rng + ?Sized>(
        &mut self,
        context: &JobContext<'_>,
        result: &ScanResult,
        planned: &mut PlannedFleet,
        rng: &mut R,
    ) -> Decision {
        let request = context.request;
        let name =
            |scored: &ScoredWorker| context.fleet.view(planned.rows[scored.index].key).name.clone();
        let best = result.best[0];
        if interferes_too_much(context.now, request, &best) {
            let predicted_permille = (best.predicted_p99 * 1000.0) as u32;
            return wait_decision(
                request,
                Reason::ExcessiveInterference { best: name(&best), predicted_permille },
            );
        }
        let mut ranked: Vec<ScoredWorker> = result.best.clone();
        explore(&mut ranked, rng);
        let chosen = ranked[0];
        let candidates = ranked.iter().map(|s| Candidate { worker: name(s), score: s.score });
        let reason =
            Reason::LeastInterference { considered: result.considered, best: candidates.collect() };
        let worker = name(&chosen);
        planned.apply_start(chosen.index, request, &context.need, chosen.added_p99);
        self.release_reservation(request, planned);
        if request.priority == Priority::Urgent {
            self.urgent_demand.record_start(context.now, &context.need);
        }
        let (job, need, score) = (request.job.clone(), context.need, chosen.score);
        Decision::Start { job, worker, need, score, reason }
    }
}

/// Returns the workers of the fleet that the job's request excludes.
fn excluded_workers(context: &JobContext<'_>) -> Vec<WorkerKey> {
    context.request.excluded.iter().filter_map(|name| context.fleet.key(name)).collect()
}

/// Returns whether a job should wait although a worker has capacity. Urgent jobs never wait for a
/// better worker.
fn interferes_too_much(now: Millis, request: &PlacementRequest, best: &ScoredWorker) -> bool {
    let max_wait_ms = match request.priority {
        Priority::Urgent => return false,
        Priority::Normal => NORMAL_MAX_WAIT_MS,
        Priority::Scavenger => SCAVENGER_MAX_WAIT_MS,
    };
    let waited = now.since(request.submitted.max(request.not_before));
    best.predicted_p99 > MAX_PREDICTED_P99_RATIO
        && best.added_p99 > NEGLIGIBLE_INTERFERENCE
        && waited < max_wait_ms
}

/// Swaps a random candidate to the front in one of [`EXPLORE_ONE_IN`] calls, unless its predicted
/// p99 is [`EXPLORE_MAX_P99_RATIO`] or more.
fn explore<R: Rng + ?Sized>(ranked: &mut [ScoredWorker], rng: &mut R) {
    if ranked.len() < 2 || rng.random_range(0..EXPLORE_ONE_IN) != 0 {
        return;
    }
    let other = rng.random_range(1..ranked.len());
    if ranked[other].predicted_p99 < EXPLORE_MAX_P99_RATIO {
        ranked.swap(0, other);
    }
}

pub(super) fn wait_decision(request: &PlacementRequest, reason: Reason) -> Decision {
    Decision::Wait { job: request.job.clone(), reason }
}
