use geraniumpost_schema::{Name, Resources};

use super::{Decision, Fleet, PlacementRequest, Placer, Reason, Resource, amounts};

impl Placer {
    /// Returns the refusal of a job that could never run, or that has failed too often.
    pub(super) fn refusal(&mut self, wish: &PlacementRequest, fleet: &Fleet) -> Option<Decision> {
        let job = wish.job.clone();
        let Some(share) = self.policy.customer(&wish.customer) else {
            let reason = Reason::UnknownCustomer { customer: wish.customer.clone() };
            return Some(Decision::Wait { job, reason });
        };
        if let Some(resource) = amounts::exceeded_resource(&wish.need, &share.quota) {
            return Some(beyond_quota(wish, resource, &share.quota));
        }
        if !fleet.could_hold(&wish.need) {
            return Some(too_large(wish, fleet));
        }
        self.fails_everywhere(wish)
    }

    /// Gives a job up that failed as often as its class allows on workers not to blame.
    fn fails_everywhere(&mut self, wish: &PlacementRequest) -> Option<Decision> {
        let failed_on = self.blame.failed_on(&wish.job);
        let last = failed_on.last()?.clone();
        let failures = failed_on.len() as u32;
        if failures < self.policy.max_attempts(&wish.class) {
            return None;
        }
        self.blame.forget(&wish.job);
        let reason = Reason::FailsEverywhere { failures, last };
        Some(Decision::GiveUp { job: wish.job.clone(), reason })
    }
}

fn beyond_quota(wish: &PlacementRequest, resource: Resource, quota: &Resources) -> Decision {
    let reason = Reason::BeyondQuota {
        customer: wish.customer.clone(),
        resource,
        needed: resource.of(&wish.need),
        quota: resource.of(quota),
    };
    Decision::Impossible { job: wish.job.clone(), resource, largest: Name::default(), reason }
}

/// Refuses a job that no worker can hold, naming what is short.
///
/// Lost workers count, as they may come back; a job that only a removed worker could hold is told
/// so here at its next turn.
fn too_large(wish: &PlacementRequest, fleet: &Fleet) -> Decision {
    let job = wish.job.clone();
    let nearest = fleet.workers().min_by(|a, b| {
        let short = |room: Resources| amounts::dominant_share(&wish.need, &room);
        short(a.allowance()).total_cmp(&short(b.allowance())).then_with(|| a.name.cmp(&b.name))
    });
    let (Some(worker), false) = (nearest, fleet.awaiting_workers()) else {
        return Decision::Wait { job, reason: Reason::AwaitingWorkers };
    };
    let resource = amounts::exceeded_resource(&wish.need, &worker.allowance());
    let resource = resource.unwrap_or(Resource::Processors);
    let most = |a: &&super::WorkerView| resource.of(&a.allowance());
    let largest = fleet.workers().max_by_key(most).unwrap_or(worker);
    let reason = Reason::TooLarge {
        resource,
        needed: resource.of(&wish.need),
        largest: largest.name.clone(),
        offered: resource.of(&largest.allowance()),
    };
    Decision::Impossible { job, resource, largest: largest.name.clone(), reason }
}
