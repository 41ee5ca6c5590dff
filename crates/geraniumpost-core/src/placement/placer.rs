use std::collections::HashMap;

use geraniumpost_schema::{Document, Name, Priority, Resources};
use rand::Rng;
use slotmap::SecondaryMap;

use super::row::Row;
use super::{
    Candidate, Decision, Fleet, Observation, PlacementPolicy, Reason, Resource, Wish, WorkerKey,
    amounts,
};
use crate::Millis;

/// Decides what starts where, what yields and what cannot run.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, placement::{Decision, Fleet, Placer, Wish, WorkerView}};
/// use geraniumpost_schema::{Document, Resources};
/// use rand::{SeedableRng, rngs::StdRng};
/// let document: Document = serde_json::from_value(serde_json::json!({
///     "customers": {"entel": {"token_sha256": "0", "quota": {}}},
///     "services": {}, "classes": {}, "domains": {}, "operators": {}
/// })).expect("a document");
/// let capacity = Resources { milli_cpus: 8000, memory_mb: 8192, accelerators: 0 };
/// let mut fleet = Fleet::default();
/// fleet.put_worker(WorkerView::new("w1", "surco", "rack-1", capacity));
/// let wish = Wish::new("study-7", "entel", "coordination", capacity);
/// let mut placer = Placer::new(&document);
/// let mut rng = StdRng::seed_from_u64(1);
/// let decisions = placer.place(Millis(0), &[wish], &fleet, &mut rng);
/// assert!(decisions[0].to_string().starts_with("start job=study-7 worker=w1"), "{}", decisions[0]);
/// ```
#[derive(Debug, Clone)]
pub struct Placer {
    policy: PlacementPolicy,
    explained: HashMap<Name, Decision>,
}

/// Room and holdings as they will be once this call's decisions are carried out.
struct Draft {
    rows: SecondaryMap<WorkerKey, Row>,
    holdings: HashMap<Name, Resources>,
}

impl Placer {
    /// Creates a placer that has learned nothing yet.
    pub fn new(document: &Document) -> Self {
        Self { policy: document.into(), explained: HashMap::new() }
    }

    /// Takes over a newer configuration and keeps what was learned.
    pub fn configure(&mut self, document: &Document) {
        self.policy = document.into();
    }

    /// Learns from a report.
    pub fn observe(&mut self, _now: Millis, observation: &Observation) {
        if let Observation::Ended { job, .. } = observation {
            self.explained.remove(job);
        }
    }

    /// Decides on all jobs that wait.
    ///
    /// The decisions hold together: the caller applies each [`Decision::Start`] to the fleet by
    /// [`Fleet::add_task`] before it calls again.
    pub fn place<R: Rng + ?Sized>(
        &mut self,
        now: Millis,
        wishes: &[Wish],
        fleet: &Fleet,
        _rng: &mut R,
    ) -> Vec<Decision> {
        let mut draft = Draft { rows: fleet.rows().clone(), holdings: HashMap::new() };
        let mut order: Vec<&Wish> = wishes.iter().collect();
        order.sort_by_key(|wish| (rank(wish.priority), wish.submitted));
        let decisions: Vec<Decision> =
            order.into_iter().map(|wish| self.decide(now, wish, fleet, &mut draft)).collect();
        for decision in &decisions {
            if let Some(job) = decision.job() {
                self.explained.insert(job.clone(), decision.clone());
            }
        }
        decisions
    }

    /// Returns why a job runs where it runs, or why it waits.
    pub fn explain(&self, job: &Name) -> String {
        self.explained
            .get(job)
            .map_or_else(|| format!("no decision on job={job}"), ToString::to_string)
    }

    fn decide(&self, now: Millis, wish: &Wish, fleet: &Fleet, draft: &mut Draft) -> Decision {
        let job = wish.job.clone();
        if let Some(refusal) = self.refusal(wish, fleet) {
            return refusal;
        }
        if now < wish.not_before {
            return Decision::Wait { job, why: Reason::BackOff { until: wish.not_before } };
        }
        if let Some(why) = self.over_quota(wish, fleet, draft) {
            return Decision::Wait { job, why };
        }
        start(wish, fleet, draft)
            .unwrap_or(Decision::Wait { job, why: Reason::NoRoom { need: wish.need } })
    }

    /// Returns the refusal of a job that could never run.
    fn refusal(&self, wish: &Wish, fleet: &Fleet) -> Option<Decision> {
        let job = wish.job.clone();
        let Some(share) = self.policy.customer(&wish.customer) else {
            let why = Reason::UnknownCustomer { customer: wish.customer.clone() };
            return Some(Decision::Wait { job, why });
        };
        if let Some(resource) = amounts::excess(&wish.need, &share.quota) {
            let why = Reason::BeyondQuota {
                customer: wish.customer.clone(),
                resource,
                needed: of(&wish.need, resource),
                quota: of(&share.quota, resource),
            };
            return Some(Decision::Impossible { job, resource, largest: Name::default(), why });
        }
        if fleet.workers().any(|worker| amounts::fits(&wish.need, &worker.allowance())) {
            return None;
        }
        Some(too_large(wish, fleet))
    }

    fn over_quota(&self, wish: &Wish, fleet: &Fleet, draft: &Draft) -> Option<Reason> {
        let quota = self.policy.customer(&wish.customer)?.quota;
        let drafted = draft.holdings.get(&wish.customer).copied().unwrap_or(amounts::NONE);
        let held = amounts::plus(&fleet.holding(&wish.customer), &drafted);
        let resource = amounts::excess(&amounts::plus(&held, &wish.need), &quota)?;
        Some(Reason::OverQuota { customer: wish.customer.clone(), resource })
    }
}

/// Starts a job on the open worker that it fills most, if one has room.
fn start(wish: &Wish, fleet: &Fleet, draft: &mut Draft) -> Option<Decision> {
    let excluded: Vec<_> = wish.excluded.iter().filter_map(|name| fleet.key(name)).collect();
    let mut weighed = 0;
    let mut best: Option<(f64, WorkerKey)> = None;
    for (key, row) in &draft.rows {
        if !row.open || !amounts::fits(&wish.need, &row.free) || excluded.contains(&key) {
            continue;
        }
        weighed += 1;
        let score = 1.0 - amounts::dominant(&wish.need, &row.free);
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, key));
        }
    }
    let (score, key) = best?;
    draft.rows[key].free = amounts::minus(&draft.rows[key].free, &wish.need);
    let holding = draft.holdings.entry(wish.customer.clone()).or_insert(amounts::NONE);
    *holding = amounts::plus(holding, &wish.need);
    let worker = fleet.view(key).name.clone();
    let best = vec![Candidate { worker: worker.clone(), score }];
    let why = Reason::LeastHarm { weighed, best };
    Some(Decision::Start { job: wish.job.clone(), worker, need: wish.need, score, why })
}

/// Refuses a job that no worker can hold, naming what is short.
fn too_large(wish: &Wish, fleet: &Fleet) -> Decision {
    let job = wish.job.clone();
    let nearest = fleet.workers().max_by(|a, b| {
        let share = |need: &Resources| amounts::dominant(&wish.need, need);
        share(&b.allowance()).total_cmp(&share(&a.allowance()))
    });
    let (Some(worker), false) = (nearest, fleet.settling()) else {
        return Decision::Wait { job, why: Reason::Settling };
    };
    let room = worker.allowance();
    let resource = amounts::excess(&wish.need, &room).unwrap_or(Resource::Processors);
    let why = Reason::TooLarge {
        resource,
        needed: of(&wish.need, resource),
        largest: worker.name.clone(),
        offered: of(&room, resource),
    };
    Decision::Impossible { job, resource, largest: worker.name.clone(), why }
}

/// Returns the amount of one resource.
fn of(amount: &Resources, resource: Resource) -> u64 {
    match resource {
        Resource::Processors => amount.milli_cpus,
        Resource::Memory => amount.memory_mb,
        Resource::Accelerators => amount.accelerators.into(),
    }
}

/// Returns the place of a priority in the queue.
const fn rank(priority: Priority) -> u8 {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Scavenger => 2,
    }
}
