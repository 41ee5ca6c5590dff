use geraniumpost_schema::{Name, Resources};

use super::{Decision, Fleet, PlacementRequest, Placer, Reason, Resource, amounts};

impl Placer {
    /// Returns the decision on a job that must not be placed: its customer is unknown, it exceeds
    /// the quota, fits on no worker, or has failed too often. `None` if the caller must search for
    /// a worker.
    pub(super) fn decide_ineligible(
        &mut self,
        request: &PlacementRequest,
        fleet: &Fleet,
    ) -> Option<Decision> {
        let job = request.job.clone();
        let Some(settings) = self.policy.customer(&request.customer) else {
            let reason = Reason::UnknownCustomer { customer: request.customer.clone() };
            return Some(Decision::Wait { job, reason });
        };
        if let Some(resource) = amounts::exceeded_resource(&request.need, &settings.quota) {
            return Some(quota_exceeded_decision(request, resource, &settings.quota));
        }
        if !fleet.could_ever_fit(&request.need) {
            return Some(too_large_decision(request, fleet));
        }
        self.give_up_failing(request)
    }

    /// Gives up a job that failed as often as its class allows, on workers that were not
    /// quarantined, and forgets its failures.
    fn give_up_failing(&mut self, request: &PlacementRequest) -> Option<Decision> {
        let failed_on = self.failures.failed_on(&request.job);
        let last = failed_on.last()?.clone();
        let failures = failed_on.len() as u32;
        if failures < self.policy.max_attempts(&request.class) {
            return None;
        }
        self.failures.forget_job(&request.job);
        let reason = Reason::FailsOnSeveralWorkers { failures, last };
        Some(Decision::GiveUp { job: request.job.clone(), reason })
    }
}

/// Rejects a job whose declared need exceeds its customer's quota.
fn quota_exceeded_decision(
    request: &PlacementRequest,
    resource: Resource,
    quota: &Resources,
) -> Decision {
    let reason = Reason::ExceedsQuota {
        customer: request.customer.clone(),
        resource,
        needed: resource.of(&request.need),
        quota: resource.of(quota),
    };
    Decision::Impossible { job: request.job.clone(), resource, largest: Name::default(), reason }
}

/// Rejects a job that fits on no worker, and names a resource of which the worker that comes
/// closest to fitting has too little. If more workers are expected or none is known, the job waits
/// instead.
///
/// Lost workers count because they may come back. A job that fits only on a worker that has been
/// removed is rejected by the next decision on the job.
fn too_large_decision(request: &PlacementRequest, fleet: &Fleet) -> Decision {
    let job = request.job.clone();
    let nearest = fleet.workers().min_by(|a, b| {
        let needed_share = |capacity: Resources| amounts::dominant_share(&request.need, &capacity);
        needed_share(a.allowance())
            .total_cmp(&needed_share(b.allowance()))
            .then_with(|| a.name.cmp(&b.name))
    });
    let (Some(worker), false) = (nearest, fleet.awaiting_workers()) else {
        return Decision::Wait { job, reason: Reason::AwaitingWorkers };
    };
    let resource = amounts::exceeded_resource(&request.need, &worker.allowance());
    let resource = resource.unwrap_or(Resource::Processors);
    let amount = |a: &&super::WorkerView| resource.of(&a.allowance());
    let largest = fleet.workers().max_by_key(amount).unwrap_or(worker);
    let reason = Reason::TooLarge {
        resource,
        needed: resource.of(&request.need),
        largest: largest.name.clone(),
        offered: resource.of(&largest.allowance()),
    };
    Decision::Impossible { job, resource, largest: largest.name.clone(), reason }
}
