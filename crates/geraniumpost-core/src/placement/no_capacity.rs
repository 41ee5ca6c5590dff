use geraniumpost_schema::{Name, Priority};

use super::decide::wait_decision;
use super::job_context::JobContext;
use super::planned_fleet::PlannedFleet;
use super::preemption::Preemption;
use super::reservations::Reservation;
use super::{Decision, PlacementRequest, Placer, Reason, WorkerKey, amounts};

/// Time for which resources stay reserved for an urgent job while the evicted tasks stop.
/// Afterwards the job may use another worker.
const URGENT_RESERVATION_MS: u64 = 5_000;
/// Waiting time after which resources are reserved for a job for which no worker has capacity.
const RESERVE_AFTER_MS: u64 = 600_000;
/// Time for which resources stay reserved for a job that has waited long. Afterwards resources on
/// another worker may be reserved.
const RESERVATION_MS: u64 = 900_000;
/// Number of workers in the fleet per allowed reservation without evictions; at least one such
/// reservation is allowed.
const WORKERS_PER_RESERVATION: usize = 16;

impl Placer {
    /// Decides on a job for which the scan found no worker: an urgent job may evict tasks, others
    /// wait.
    pub(super) fn handle_no_capacity(
        &mut self,
        context: &JobContext<'_>,
        planned: &mut PlannedFleet,
    ) -> Vec<Decision> {
        if context.request.priority == Priority::Urgent {
            return self.preempt(context, planned);
        }
        if context.request.excluded.is_empty()
            && self.reservations.get(&context.request.job).is_none()
        {
            planned.record_unfit_need(&context.need);
        }
        vec![self.wait_or_reserve(context, planned)]
    }

    /// Evicts tasks for an urgent job and reserves resources on their worker, unless the job has a
    /// reservation already or the eviction budget is used up.
    fn preempt(&mut self, context: &JobContext<'_>, planned: &mut PlannedFleet) -> Vec<Decision> {
        if let Some(reservation) = self.reservations.get(&context.request.job) {
            let worker = context.fleet.view(reservation.worker).name.clone();
            return vec![wait_decision(context.request, Reason::AwaitsEviction { worker })];
        }
        let max_evictions = self.budget.remaining(context.now, self.policy.evictions_per_minute());
        if max_evictions == 0 {
            return vec![wait_decision(
                context.request,
                Reason::EvictionBudgetSpent { need: context.need },
            )];
        }
        let Some(preemption) = self.find_preemption(context, max_evictions, planned) else {
            return vec![wait_decision(context.request, Reason::NoCapacity { need: context.need })];
        };
        let until = context.now.plus(URGENT_RESERVATION_MS);
        self.reserve(
            context,
            Reservation {
                until,
                awaits_eviction: true,
                ..new_reservation(context, preemption.worker)
            },
            planned,
        );
        self.evict_for(context, preemption)
    }

    /// Finds the cheapest preemption among workers that the job may use, that have no reservation,
    /// and on which further jobs may be started.
    fn find_preemption(
        &self,
        context: &JobContext<'_>,
        max_evictions: u32,
        planned: &PlannedFleet,
    ) -> Option<Preemption> {
        let avoided = self.avoided_workers(context);
        let is_allowed = |key: WorkerKey| {
            let row = planned.rows.iter().find(|row| row.key == key);
            row.is_some_and(|row| row.remaining_job_starts > 0 && !row.is_reserved())
                && !avoided.contains(&key)
        };
        let is_excluded = |job: &Name| self.evicting.contains_key(job);
        Preemption::find(
            context.now,
            &context.need,
            context.fleet,
            max_evictions,
            is_allowed,
            is_excluded,
        )
    }

    /// Returns the evictions, followed by the decision that the urgent job waits for them.
    fn evict_for(&mut self, context: &JobContext<'_>, preemption: Preemption) -> Vec<Decision> {
        let worker = context.fleet.view(preemption.worker).name.clone();
        let for_job = context.request.job.clone();
        let mut decisions = Vec::new();
        for victim in preemption.victims {
            self.record_eviction(context.now, &victim.job);
            let (for_job, worker) = (for_job.clone(), worker.clone());
            let reason =
                Reason::PreemptedByUrgent { for_job: for_job.clone(), lost_ms: victim.lost_ms };
            decisions.push(Decision::Evict { job: victim.job, worker, for_job, reason });
        }
        decisions.push(wait_decision(context.request, Reason::AwaitsEviction { worker }));
        decisions
    }

    /// Keeps a job waiting, and reserves resources on a worker for the job after
    /// [`RESERVE_AFTER_MS`]. Without the reservation, smaller jobs would take all capacity that
    /// becomes free.
    pub(super) fn wait_or_reserve(
        &mut self,
        context: &JobContext<'_>,
        planned: &mut PlannedFleet,
    ) -> Decision {
        if let Some(reservation) = self.reservations.get(&context.request.job) {
            let worker = context.fleet.view(reservation.worker).name.clone();
            return wait_decision(context.request, Reason::WorkerReserved { worker });
        }
        let max_reservations = (planned.rows.len() / WORKERS_PER_RESERVATION).max(1);
        let waited = context.now.since(context.request.submitted);
        let may_reserve = waited >= RESERVE_AFTER_MS
            && self.reservations.count_without_eviction() < max_reservations;
        let worker = if may_reserve { self.closest_to_fitting(context, planned) } else { None };
        let Some(worker) = worker else {
            return wait_decision(context.request, Reason::NoCapacity { need: context.need });
        };
        let until = context.now.plus(RESERVATION_MS);
        self.reserve(context, Reservation { until, ..new_reservation(context, worker) }, planned);
        wait_decision(
            context.request,
            Reason::WorkerReserved { worker: context.fleet.view(worker).name.clone() },
        )
    }

    /// Returns the worker with the smallest shortfall in free resources for a job, among unreserved
    /// workers on which the job would fit if no tasks ran there.
    fn closest_to_fitting(
        &self,
        context: &JobContext<'_>,
        planned: &PlannedFleet,
    ) -> Option<WorkerKey> {
        let avoided = self.avoided_workers(context);
        let could_fit = |key: WorkerKey| {
            let allowance = context.fleet.view(key).allowance();
            amounts::fits(&context.need, &allowance) && !avoided.contains(&key)
        };
        let available = planned
            .rows
            .iter()
            .filter(|row| !row.is_reserved() && row.remaining_job_starts > 0 && could_fit(row.key));
        let shortfall = |row: &super::planned_fleet::PlannedWorker| {
            amounts::dominant_share(&amounts::minus(&context.need, &row.free), &context.need)
        };
        available.min_by(|a, b| shortfall(a).total_cmp(&shortfall(b))).map(|row| row.key)
    }

    fn reserve(
        &mut self,
        context: &JobContext<'_>,
        reservation: Reservation,
        planned: &mut PlannedFleet,
    ) {
        planned.reserve(&reservation);
        self.reservations.insert(&context.request.job, reservation);
    }

    /// Releases the resources reserved for a job, if any.
    pub(super) fn release_reservation(
        &mut self,
        request: &PlacementRequest,
        planned: &mut PlannedFleet,
    ) {
        if let Some(reservation) = self.reservations.remove(&request.job) {
            planned.release(&reservation);
        }
    }
}

/// Creates a reservation that ends now; the caller sets the actual end.
fn new_reservation(context: &JobContext<'_>, worker: WorkerKey) -> Reservation {
    let customer = context.request.customer.clone();
    Reservation { worker, customer, need: context.need, until: context.now, awaits_eviction: false }
}
