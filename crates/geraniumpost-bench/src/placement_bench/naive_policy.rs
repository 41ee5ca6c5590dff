use std::collections::{HashMap, VecDeque};

use geraniumpost_core::Millis;
use geraniumpost_core::placement::{Decision, Fleet, PlacementRequest, Reason, amounts};
use geraniumpost_schema::{Document, Name, Priority, Resources};
use rand::Rng;
use rand::rngs::StdRng;

/// How a naive policy orders the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// By priority, then age.
    Fifo,
    /// By weighted dominant share.
    DominantShare,
    /// By the SIDRF paper's combination of dominant share and holding time, with its preemption.
    Sidrf,
}

/// How a naive policy chooses among workers with enough free resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    First,
    Random,
}

/// The paper's weight of the dominant share; the rest is that of the holding time.
const SIDRF_P: f64 = 0.5;
/// The paper's threshold of the load factor, above which tasks are preempted.
const SIDRF_ALPHA: f64 = 2.0;
/// The paper's bound on run time in units of its simulator, here taken as seconds.
const SIDRF_BETA_S: f64 = 50.0;
/// The paper's interval between checks of the load factor, whose unit is here taken as seconds.
const SIDRF_GAMMA_MS: u64 = 50_000;
/// Holding time that counts as much as the whole fleet, since the paper adds a share to a time.
const SIDRF_SCALE_S: f64 = 3600.0;

/// Waiting jobs of one customer.
struct CustomerQueue<'a> {
    customer: Name,
    requests: VecDeque<&'a PlacementRequest>,
    /// Share by which customers are ordered; the lowest is next.
    share: f64,
    /// Increase of `share` for each started job, relative to the job's dominant share.
    per_share: f64,
}

/// Waiting jobs of one priority.
#[derive(Default)]
struct PriorityLevel<'a> {
    queues: Vec<CustomerQueue<'a>>,
    chosen: usize,
}

impl<'a> PriorityLevel<'a> {
    fn next(&mut self) -> Option<&'a PlacementRequest> {
        let nonempty = (0..self.queues.len()).filter(|i| !self.queues[*i].requests.is_empty());
        let share = |i: &usize| self.queues[*i].share;
        self.chosen = nonempty.min_by(|a, b| share(a).total_cmp(&share(b)))?;
        self.queues[self.chosen].requests.pop_front()
    }

    fn charge(&mut self, request: &PlacementRequest, fleet: &Fleet) {
        let queue = &mut self.queues[self.chosen];
        queue.share += queue.per_share * amounts::dominant_share(request.need(), fleet.total());
    }
}

/// A policy that considers sizes and shares, but neither interference nor failures.
pub struct NaivePolicy {
    order: Order,
    pick: Pick,
    weights: HashMap<Name, f64>,
    last_check: Millis,
    evicted_at: HashMap<Name, Millis>,
}

impl NaivePolicy {
    /// Creates a policy.
    pub fn new(order: Order, pick: Pick, document: &Document) -> Self {
        let weights =
            document.customers.iter().map(|(name, c)| (name.clone(), c.weight.into())).collect();
        Self { order, pick, weights, last_check: Millis(0), evicted_at: HashMap::new() }
    }

    /// Decides on all waiting jobs.
    pub fn place(
        &mut self,
        now: Millis,
        requests: &[PlacementRequest],
        fleet: &Fleet,
        rng: &mut StdRng,
    ) -> Vec<Decision> {
        let mut free: Vec<(Name, Resources)> =
            fleet.workers().map(|worker| (worker.name().clone(), worker.free())).collect();
        let mut waiting: Vec<&PlacementRequest> =
            requests.iter().filter(|request| request.earliest_start() <= now).collect();
        waiting.sort_by_key(|request| (rank(request.requested_priority()), request.submitted_at()));
        let mut decisions = self.preempt(now, &waiting, fleet);
        let mut too_large: Vec<Resources> = Vec::new();
        for mut level in self.priority_levels(now, &waiting, fleet) {
            while let Some(request) = level.next() {
                if too_large.iter().any(|need| amounts::fits(need, request.need())) {
                    continue;
                }
                let Some(worker) = self.choose(request, &mut free, rng) else {
                    too_large.push(*request.need());
                    continue;
                };
                level.charge(request, fleet);
                decisions.push(Decision::Start {
                    job: request.job().clone(),
                    worker,
                    need: *request.need(),
                    score: 0.0,
                    reason: Reason::AwaitingWorkers,
                });
            }
        }
        decisions
    }

    /// Divides the waiting jobs by priority and, except for [`Order::Fifo`], by customer.
    fn priority_levels<'a>(
        &self,
        now: Millis,
        waiting: &[&'a PlacementRequest],
        fleet: &Fleet,
    ) -> Vec<PriorityLevel<'a>> {
        let mut levels: Vec<PriorityLevel<'a>> = (0..3).map(|_| PriorityLevel::default()).collect();
        for request in waiting {
            let level = &mut levels[usize::from(rank(request.requested_priority()))];
            let owner = request.customer();
            let same =
                |queue: &CustomerQueue| self.order == Order::Fifo || queue.customer == *owner;
            let at = level.queues.iter().position(same).unwrap_or_else(|| {
                level.queues.push(self.customer_queue(now, owner, fleet));
                level.queues.len() - 1
            });
            level.queues[at].requests.push_back(request);
        }
        levels
    }

    fn customer_queue<'a>(&self, now: Millis, customer: &Name, fleet: &Fleet) -> CustomerQueue<'a> {
        let weight = self.weights.get(customer).copied().unwrap_or(1.0);
        let (share_weight, holding) = match self.order {
            Order::Sidrf => {
                (SIDRF_P, (1.0 - SIDRF_P) * holding_seconds(now, customer, fleet) / SIDRF_SCALE_S)
            }
            _ => (1.0, 0.0),
        };
        CustomerQueue {
            customer: customer.clone(),
            requests: VecDeque::new(),
            share: share_weight
                * amounts::dominant_share(&fleet.allocated_to(customer), fleet.total())
                / weight
                + holding / weight,
            per_share: share_weight / weight,
        }
    }

    fn choose(
        &self,
        request: &PlacementRequest,
        free: &mut [(Name, Resources)],
        rng: &mut StdRng,
    ) -> Option<Name> {
        let fits = |free: &Resources| amounts::fits(request.need(), free);
        let candidates: Vec<usize> = (0..free.len()).filter(|i| fits(&free[*i].1)).collect();
        let at = match self.pick {
            Pick::First => *candidates.first()?,
            Pick::Random if candidates.is_empty() => return None,
            Pick::Random => candidates[rng.random_range(0..candidates.len())],
        };
        free[at].1 = amounts::minus(&free[at].1, request.need());
        Some(free[at].0.clone())
    }

    /// Preempts as in the paper: if the waiting time outweighs the running time, evicts
    /// long-running tasks.
    fn preempt(
        &mut self,
        now: Millis,
        waiting: &[&PlacementRequest],
        fleet: &Fleet,
    ) -> Vec<Decision> {
        if self.order != Order::Sidrf || now.since(self.last_check) < SIDRF_GAMMA_MS {
            return Vec::new();
        }
        self.last_check = now;
        let waited: f64 =
            waiting.iter().map(|request| now.since(request.submitted_at()) as f64).sum();
        let tasks = || fleet.workers().flat_map(|worker| worker.all_tasks().iter());
        let ran: f64 = tasks().map(|task| now.since(task.started_at()) as f64).sum();
        if ran <= 0.0 || waited / ran <= SIDRF_ALPHA {
            return Vec::new();
        }
        let mean_s = ran / 1e3 / tasks().count().max(1) as f64;
        let bound_s = (mean_s / waiting.len().max(1) as f64).min(SIDRF_BETA_S);
        let mut evictions = Vec::new();
        for worker in fleet.workers() {
            for task in worker.all_tasks() {
                let recent =
                    self.evicted_at.get(task.job()).is_some_and(|at| now.since(*at) < 60_000);
                if recent || holding_seconds(now, task.customer(), fleet) <= bound_s {
                    continue;
                }
                self.evicted_at.insert(task.job().clone(), now);
                evictions.push(Decision::Evict {
                    job: task.job().clone(),
                    worker: worker.name().clone(),
                    for_job: Name::default(),
                    reason: Reason::AwaitingWorkers,
                });
            }
        }
        evictions
    }
}

/// Returns the time for which a customer has held resources: that of its longest running task.
fn holding_seconds(now: Millis, customer: &Name, fleet: &Fleet) -> f64 {
    fleet
        .workers()
        .flat_map(|worker| worker.all_tasks().iter())
        .filter(|task| task.customer() == customer)
        .map(|task| now.since(task.started_at()) as f64 / 1e3)
        .fold(0.0, f64::max)
}

const fn rank(priority: Priority) -> u8 {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Scavenger => 2,
    }
}
