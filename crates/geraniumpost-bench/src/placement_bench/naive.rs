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
    /// By the paper's combination of dominant share and time held, with its preemption.
    Sidrf,
}

/// How a naive policy picks among workers with room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    First,
    Random,
}

/// The paper's weighing factor.
const SIDRF_P: f64 = 0.5;
/// The paper's threshold of the load factor.
const SIDRF_ALPHA: f64 = 2.0;
/// The paper's bound on run time, in the units of its simulator; taken as seconds.
const SIDRF_BETA_S: f64 = 50.0;
/// The paper's interval between checks of the load factor, taken as seconds.
const SIDRF_GAMMA_MS: u64 = 50_000;
/// Seconds that count as much as the whole fleet, as the paper adds a share to a time.
const SIDRF_SCALE_S: f64 = 3600.0;

/// One customer's part of the queue.
struct Queue<'a> {
    customer: Name,
    wishes: VecDeque<&'a PlacementRequest>,
    /// What the order goes by; the least is next.
    share: f64,
    /// What it grows by for each share of the fleet.
    per_share: f64,
}

/// The queue of one priority.
#[derive(Default)]
struct Lane<'a> {
    queues: Vec<Queue<'a>>,
    last: usize,
}

impl<'a> Lane<'a> {
    fn next(&mut self) -> Option<&'a PlacementRequest> {
        let open = (0..self.queues.len()).filter(|i| !self.queues[*i].wishes.is_empty());
        let share = |i: &usize| self.queues[*i].share;
        self.last = open.min_by(|a, b| share(a).total_cmp(&share(b)))?;
        self.queues[self.last].wishes.pop_front()
    }

    fn took(&mut self, wish: &PlacementRequest, fleet: &Fleet) {
        let queue = &mut self.queues[self.last];
        queue.share += queue.per_share * amounts::dominant_share(wish.need(), fleet.total());
    }
}

/// A policy that knows sizes and shares but neither harm nor fault.
pub struct Naive {
    order: Order,
    pick: Pick,
    weights: HashMap<Name, f64>,
    checked: Millis,
    seen: HashMap<Name, Millis>,
}

impl Naive {
    /// Creates a policy.
    pub fn new(order: Order, pick: Pick, document: &Document) -> Self {
        let weights =
            document.customers.iter().map(|(name, c)| (name.clone(), c.weight.into())).collect();
        Self { order, pick, weights, checked: Millis(0), seen: HashMap::new() }
    }

    /// Decides on all jobs that wait.
    pub fn place(
        &mut self,
        now: Millis,
        wishes: &[PlacementRequest],
        fleet: &Fleet,
        rng: &mut StdRng,
    ) -> Vec<Decision> {
        let mut free: Vec<(Name, Resources)> =
            fleet.workers().map(|worker| (worker.name().clone(), worker.free())).collect();
        let mut left: Vec<&PlacementRequest> =
            wishes.iter().filter(|wish| wish.earliest_start() <= now).collect();
        left.sort_by_key(|wish| (rank(wish.requested_priority()), wish.submitted_at()));
        let mut decisions = self.preempt(now, &left, fleet);
        let mut too_large: Vec<Resources> = Vec::new();
        for mut lane in self.lanes(now, &left, fleet) {
            while let Some(wish) = lane.next() {
                if too_large.iter().any(|need| amounts::fits(need, wish.need())) {
                    continue;
                }
                let Some(worker) = self.choose(wish, &mut free, rng) else {
                    too_large.push(*wish.need());
                    continue;
                };
                lane.took(wish, fleet);
                decisions.push(Decision::Start {
                    job: wish.job().clone(),
                    worker,
                    need: *wish.need(),
                    score: 0.0,
                    reason: Reason::AwaitingWorkers,
                });
            }
        }
        decisions
    }

    /// Splits the queue by priority and, unless it is first come first served, by customer.
    fn lanes<'a>(
        &self,
        now: Millis,
        left: &[&'a PlacementRequest],
        fleet: &Fleet,
    ) -> Vec<Lane<'a>> {
        let mut lanes: Vec<Lane<'a>> = (0..3).map(|_| Lane::default()).collect();
        for wish in left {
            let lane = &mut lanes[usize::from(rank(wish.requested_priority()))];
            let owner = wish.customer();
            let same = |queue: &Queue| self.order == Order::Fifo || queue.customer == *owner;
            let at = lane.queues.iter().position(same).unwrap_or_else(|| {
                lane.queues.push(self.queue(now, owner, fleet));
                lane.queues.len() - 1
            });
            lane.queues[at].wishes.push_back(wish);
        }
        lanes
    }

    fn queue<'a>(&self, now: Millis, customer: &Name, fleet: &Fleet) -> Queue<'a> {
        let weight = self.weights.get(customer).copied().unwrap_or(1.0);
        let (part, held) = match self.order {
            Order::Sidrf => {
                (SIDRF_P, (1.0 - SIDRF_P) * held_seconds(now, customer, fleet) / SIDRF_SCALE_S)
            }
            _ => (1.0, 0.0),
        };
        Queue {
            customer: customer.clone(),
            wishes: VecDeque::new(),
            share: part * amounts::dominant_share(&fleet.allocated_to(customer), fleet.total())
                / weight
                + held / weight,
            per_share: part / weight,
        }
    }

    fn choose(
        &self,
        wish: &PlacementRequest,
        free: &mut [(Name, Resources)],
        rng: &mut StdRng,
    ) -> Option<Name> {
        let fits = |room: &Resources| amounts::fits(wish.need(), room);
        let open: Vec<usize> = (0..free.len()).filter(|i| fits(&free[*i].1)).collect();
        let at = match self.pick {
            Pick::First => *open.first()?,
            Pick::Random if open.is_empty() => return None,
            Pick::Random => open[rng.random_range(0..open.len())],
        };
        free[at].1 = amounts::minus(&free[at].1, wish.need());
        Some(free[at].0.clone())
    }

    /// Evicts as the paper says: once waiting outweighs running, whatever ran for long.
    fn preempt(&mut self, now: Millis, left: &[&PlacementRequest], fleet: &Fleet) -> Vec<Decision> {
        if self.order != Order::Sidrf || now.since(self.checked) < SIDRF_GAMMA_MS {
            return Vec::new();
        }
        self.checked = now;
        let waited: f64 = left.iter().map(|wish| now.since(wish.submitted_at()) as f64).sum();
        let tasks = || fleet.workers().flat_map(|worker| worker.all_tasks().iter());
        let ran: f64 = tasks().map(|task| now.since(task.started_at()) as f64).sum();
        if ran <= 0.0 || waited / ran <= SIDRF_ALPHA {
            return Vec::new();
        }
        let mean_s = ran / 1e3 / tasks().count().max(1) as f64;
        let bound_s = (mean_s / left.len().max(1) as f64).min(SIDRF_BETA_S);
        let mut out = Vec::new();
        for worker in fleet.workers() {
            for task in worker.all_tasks() {
                let recent = self.seen.get(task.job()).is_some_and(|at| now.since(*at) < 60_000);
                if recent || held_seconds(now, task.customer(), fleet) <= bound_s {
                    continue;
                }
                self.seen.insert(task.job().clone(), now);
                out.push(Decision::Evict {
                    job: task.job().clone(),
                    worker: worker.name().clone(),
                    for_job: Name::default(),
                    reason: Reason::AwaitingWorkers,
                });
            }
        }
        out
    }
}

/// Returns the time for which a customer has held resources: its longest running task's.
fn held_seconds(now: Millis, customer: &Name, fleet: &Fleet) -> f64 {
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
