use geraniumpost_schema::{Priority, Resources};
use rand::Rng;

use super::job_context::JobContext;
use super::planned_fleet::PlannedFleet;
use super::proximity::Proximity;
use super::scan::{Scan, ScanResult, ScoredWorker};
use super::{Candidate, Decision, Fleet, PlacementRequest, Placer, Reason, WorkerKey, amounts};
use crate::Millis;

/// Predicted p99, in targets, above which a job waits for a better worker.
const MAX_PREDICTED_P99: f64 = 0.85;
/// Interference, in targets, below which a job does not wait for a better worker.
const NEGLIGIBLE_INTERFERENCE: f64 = 0.02;
/// How long a normal job waits for a worker on which it does not interfere too much.
const NORMAL_MAX_WAIT_MS: u64 = 600_000;
/// How long a scavenger job waits for a worker on which it does not interfere too much.
const SCAVENGER_MAX_WAIT_MS: u64 = 900_000;
/// One start in this many goes to another of the best candidates, so that the model also learns
/// pairs of class and service that it would otherwise avoid.
const EXPLORE_ONE_IN: u32 = 50;
/// Predicted p99, in targets, up to which a start may explore.
const EXPLORE_MAX_P99: f64 = 0.7;

impl Placer {
    /// Decides on one job. If the job starts, its start is the last decision.
    pub(super) fn decide<R: Rng + ?Sized>(
        &mut self,
        now: Millis,
        request: &PlacementRequest,
        fleet: &Fleet,
        planned: &mut PlannedFleet,
        rng: &mut R,
    ) -> Vec<Decision> {
        if let Some(rejection) = self.rejection(request, fleet) {
            return vec![rejection];
        }
        if now < request.not_before {
            return vec![wait(request, Reason::BackOff { until: request.not_before })];
        }
        let context = JobContext { now, request, need: self.reserved_need(request, fleet), fleet };
        if let Some(reason) = self.over_quota(&context, planned) {
            self.release_reservation(request, planned);
            return vec![wait(request, reason)];
        }
        if self.cannot_fit(&context, planned) {
            return vec![self.wait_or_reserve(&context, planned)];
        }
        let result = self.search(&context, planned);
        if result.best.is_empty() {
            return self.handle_no_capacity(&context, planned);
        }
        vec![self.start_or_wait(&context, &result, planned, rng)]
    }

    /// Returns the resources to reserve for a job: at least what it declares, and otherwise at most
    /// what the largest suitable worker offers and the quota allows.
    fn reserved_need(&self, request: &PlacementRequest, fleet: &Fleet) -> Resources {
        let Some(largest) = fleet.largest_for(&request.need) else { return request.need };
        let quota = self.policy.customer(&request.customer).map_or(largest, |share| share.quota);
        self.usage_estimates.estimate(request, &amounts::component_min(&largest, &quota))
    }

    fn over_quota(&self, context: &JobContext<'_>, planned: &PlannedFleet) -> Option<Reason> {
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

    /// Returns whether the scan can be skipped because a smaller need already fitted on no worker.
    fn cannot_fit(&self, context: &JobContext<'_>, planned: &PlannedFleet) -> bool {
        context.request.priority != Priority::Urgent
            && self.reservations.get(&context.request.job).is_none()
            && planned.cannot_fit(&context.need)
    }

    fn search(&self, context: &JobContext<'_>, planned: &mut PlannedFleet) -> ScanResult {
        let (request, fleet) = (context.request, context.fleet);
        let compute = || {
            let class = self.model.class_number(&request.class);
            fleet.service_names().iter().map(|name| self.model.slope(name, class)).collect()
        };
        let slopes = planned.slopes(&request.class, compute).to_vec();
        let avoided = self.avoided(context);
        let groups = [fleet.group(&request.customer, &request.class), planned.group(request)];
        let mut scan = Scan {
            need: &context.need,
            slopes: &slopes,
            excluded: &avoided,
            reserved: self.reservations.get(&request.job).map(|reservation| reservation.worker),
            urgent: request.priority == Priority::Urgent,
            proximity: &Proximity::new(fleet.locations(), &groups),
        };
        let result = scan.run(planned);
        if !result.best.is_empty() || self.failures.failed_on(&request.job).is_empty() {
            return result;
        }
        // In a small fleet a job may have failed on every worker with capacity, so it may retry
        // there.
        let excluded = excluded(context);
        scan.excluded = &excluded;
        scan.run(planned)
    }

    /// Returns the workers that a job should avoid: those that its caller excludes and those on
    /// which it failed.
    pub(super) fn avoided(&self, context: &JobContext<'_>) -> Vec<WorkerKey> {
        let failed_on = self.failures.failed_on(&context.request.job).iter();
        let mut avoided = excluded(context);
        avoided.extend(failed_on.filter_map(|name| context.fleet.key(name)));
        avoided
    }

    /// Starts a job on the best worker of the scan, unless it should wait for less interference.
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
            let predicted_permille = (best.predicted * 1000.0) as u32;
            return wait(
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
        planned.start(chosen.index, request, &context.need, chosen.added);
        self.release_reservation(request, planned);
        if request.priority == Priority::Urgent {
            self.urgent_demand.record_start(context.now, &context.need);
        }
        let (job, need, score) = (request.job.clone(), context.need, chosen.score);
        Decision::Start { job, worker, need, score, reason }
    }
}

/// Returns the workers that the caller excludes for a job.
fn excluded(context: &JobContext<'_>) -> Vec<WorkerKey> {
    context.request.excluded.iter().filter_map(|name| context.fleet.key(name)).collect()
}

fn interferes_too_much(now: Millis, request: &PlacementRequest, best: &ScoredWorker) -> bool {
    let max_wait_ms = match request.priority {
        Priority::Urgent => return false,
        Priority::Normal => NORMAL_MAX_WAIT_MS,
        Priority::Scavenger => SCAVENGER_MAX_WAIT_MS,
    };
    let waited = now.since(request.submitted.max(request.not_before));
    best.predicted > MAX_PREDICTED_P99
        && best.added > NEGLIGIBLE_INTERFERENCE
        && waited < max_wait_ms
}

/// Occasionally moves another good candidate to the front, unless its predicted p99 is too high.
fn explore<R: Rng + ?Sized>(ranked: &mut [ScoredWorker], rng: &mut R) {
    if ranked.len() < 2 || rng.random_range(0..EXPLORE_ONE_IN) != 0 {
        return;
    }
    let other = rng.random_range(1..ranked.len());
    if ranked[other].predicted < EXPLORE_MAX_P99 {
        ranked.swap(0, other);
    }
}

/// Returns the decision to keep a job waiting.
pub(super) fn wait(request: &PlacementRequest, reason: Reason) -> Decision {
    Decision::Wait { job: request.job.clone(), reason }
}
