//! The placer against a naive twin that scans everything for each job.

use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_core::Millis;
use geraniumpost_core::placement::{
    Decision, Fleet, PlacementRequest, Placer, Reason, TaskView, WorkerState, WorkerView, amounts,
};
use geraniumpost_schema::{Document, Name, Priority, Resources};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const CUSTOMERS: [&str; 3] = ["entel", "claro", "bitel"];
const CLASSES: [&str; 3] = ["study", "logs", "check"];
const QUOTA: Resources = Resources { milli_cpus: 9000, memory_mb: 9000, accelerators: 2 };

/// What happens to a site between two decisions.
#[derive(Debug, Clone)]
enum Step {
    Submit { customer: usize, class: usize, need: Resources, priority: Priority },
    EndOne(usize),
    Grow(usize, u64),
    State(usize, WorkerState),
    Cancel(usize),
    Later(u64),
}

fn need() -> impl Strategy<Value = Resources> {
    (0..6u64, 0..6u64, 0..2u32).prop_map(|(cpus, memory, accelerators)| Resources {
        milli_cpus: 1 + cpus * 900,
        memory_mb: 1 + memory * 900,
        accelerators,
    })
}

fn priority() -> impl Strategy<Value = Priority> {
    prop_oneof![Just(Priority::Urgent), Just(Priority::Normal), Just(Priority::Scavenger)]
}

fn state() -> impl Strategy<Value = WorkerState> {
    prop_oneof![
        Just(WorkerState::Healthy),
        Just(WorkerState::Draining),
        Just(WorkerState::Lost),
        Just(WorkerState::Quarantined)
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3usize, 0..3usize, need(), priority()).prop_map(
            |(customer, class, need, priority)| Step::Submit { customer, class, need, priority }),
        3 => any::<usize>().prop_map(Step::EndOne),
        1 => (any::<usize>(), 0..6000u64).prop_map(|(which, cpus)| Step::Grow(which, cpus)),
        1 => (any::<usize>(), state()).prop_map(|(which, state)| Step::State(which, state)),
        1 => any::<usize>().prop_map(Step::Cancel),
        2 => (1..20_000u64).prop_map(Step::Later),
    ]
}

fn worker(at: usize, cpus: u64, accelerators: u32) -> WorkerView {
    let capacity = Resources { milli_cpus: cpus * 1000, memory_mb: 5000, accelerators };
    let reserve = Resources { milli_cpus: 500, memory_mb: 100, accelerators: 0 };
    let view =
        WorkerView::new(format!("w{at}"), format!("d{}", at % 2), format!("r{}", at / 2), capacity);
    view.reserve(reserve)
}

fn document() -> Document {
    let customers: BTreeMap<&str, _> = CUSTOMERS
        .iter()
        .map(|name| (*name, serde_json::json!({"token_sha256": "0", "quota": QUOTA})))
        .collect();
    serde_json::from_value(serde_json::json!({
        "customers": customers, "services": {}, "classes": {}, "domains": {}, "operators": {},
        "policy": {"evictions_per_minute": 3},
    }))
    .expect("a document")
}

/// The naive twin: sums everything up anew whenever it is asked.
struct Twin {
    workers: BTreeMap<Name, (Resources, WorkerState)>,
    tasks: BTreeMap<Name, (Name, Name, Resources)>,
}

impl Twin {
    fn new(fleet: &Fleet, states: &BTreeMap<Name, WorkerState>) -> Self {
        let mut tasks = BTreeMap::new();
        let mut workers = BTreeMap::new();
        for view in fleet.workers() {
            let state = states.get(view.name()).copied().unwrap_or_default();
            workers.insert(view.name().clone(), (view.allowance(), state));
            for task in view.running() {
                let entry = (view.name().clone(), task.customer().clone(), task.allocated());
                tasks.insert(task.job().clone(), entry);
            }
        }
        Self { workers, tasks }
    }

    fn free(&self, worker: &Name) -> Resources {
        let on = self.tasks.values().filter(|(on, _, _)| on == worker);
        let held = on.fold(amounts::NONE, |sum, (_, _, held)| amounts::plus(&sum, held));
        amounts::minus(&self.workers[worker].0, &held)
    }

    fn holding(&self, customer: &Name) -> Resources {
        let of = self.tasks.values().filter(|(_, owner, _)| owner == customer);
        of.fold(amounts::NONE, |sum, (_, _, held)| amounts::plus(&sum, held))
    }

    fn rooms(&self, need: &Resources) -> usize {
        let open = self.workers.iter().filter(|(_, (_, state))| *state == WorkerState::Healthy);
        open.filter(|(name, _)| amounts::fits(need, &self.free(name))).count()
    }

    fn could_ever(&self, wish: &PlacementRequest) -> bool {
        amounts::fits(wish.need(), &QUOTA)
            && self.workers.values().any(|(room, _)| amounts::fits(wish.need(), room))
    }

    fn within_quota(&self, wish: &PlacementRequest) -> bool {
        self.within_quota_beside(wish, std::iter::empty())
    }

    /// Tells whether the quota also lasts for other jobs that room is kept for.
    fn within_quota_beside<'a>(
        &self,
        wish: &PlacementRequest,
        kept: impl Iterator<Item = &'a PlacementRequest>,
    ) -> bool {
        let others = kept.filter(|w| w.customer() == wish.customer() && w.job() != wish.job());
        let others = others.filter(|w| !self.tasks.contains_key(w.job()));
        let kept = others.fold(*wish.need(), |sum, other| amounts::plus(&sum, other.need()));
        amounts::fits(&amounts::plus(&self.holding(wish.customer()), &kept), &QUOTA)
    }
}

/// Applies decisions to the twin one by one and checks each.
fn check(
    decided: &[Decision],
    wishes: &[PlacementRequest],
    mut twin: Twin,
    holders: &BTreeSet<Name>,
) -> Result<(), TestCaseError> {
    let wish_of = |job: &Name| wishes.iter().find(|wish| wish.job() == job).expect("a wish");
    let starts = decided.iter().filter(|d| matches!(d, Decision::Start { .. }));
    let ranks: Vec<u8> = starts.map(|d| rank(wish_of(d.job().expect("a job")))).collect();
    prop_assert!(ranks.windows(2).all(|pair| pair[0] <= pair[1]), "order {ranks:?}");
    let mut answered = 0;
    for decision in decided {
        match decision {
            Decision::Start { job, worker, need, .. } => {
                let wish = wish_of(job);
                let (_, state) = twin.workers[worker];
                prop_assert_eq!(state, WorkerState::Healthy, "{} on a closed worker", job);
                prop_assert!(amounts::fits(wish.need(), need), "less than declared for {}", job);
                prop_assert!(amounts::fits(need, &twin.free(worker)), "{worker} is overfull");
                prop_assert!(twin.within_quota(wish), "{job} breaks its quota");
                let entry = (worker.clone(), wish.customer().clone(), *need);
                prop_assert!(twin.tasks.insert(job.clone(), entry).is_none(), "{job} twice");
                answered += 1;
            }
            Decision::Impossible { job, .. } => {
                prop_assert!(!twin.could_ever(wish_of(job)), "{job} could run");
                answered += 1;
            }
            Decision::Wait { job, reason } => {
                let wish = wish_of(job);
                prop_assert!(twin.could_ever(wish), "{job} is not told that it cannot run");
                match reason {
                    Reason::OverQuota { .. } => {
                        let kept = wishes.iter().filter(|other| holders.contains(other.job()));
                        prop_assert!(!twin.within_quota_beside(wish, kept));
                    }
                    Reason::NoRoom { .. } | Reason::EvictionsSpent { .. } => {
                        let kept = kept(holders, wish, &twin);
                        prop_assert!(
                            twin.rooms(wish.need()) <= kept,
                            "{job} has room: {decided:#?}"
                        );
                    }
                    Reason::AwaitsEviction { .. } => {
                        prop_assert_eq!(wish.requested_priority(), Priority::Urgent);
                    }
                    Reason::Kept { .. } => {
                        prop_assert_ne!(wish.requested_priority(), Priority::Urgent)
                    }
                    other => prop_assert!(false, "unexpected {other}"),
                }
                answered += 1;
            }
            Decision::Evict { job, .. } => {
                prop_assert!(twin.tasks.contains_key(job), "{job} does not run");
            }
            other => prop_assert!(false, "unexpected {other}"),
        }
    }
    prop_assert_eq!(answered, wishes.len(), "each job has one answer");
    Ok(())
}

/// Returns how many workers may have room and yet be closed to a job: those kept for jobs that say
/// so and, unless it is urgent, one in four that may keep a room for urgent ones.
fn kept(holders: &BTreeSet<Name>, wish: &PlacementRequest, twin: &Twin) -> usize {
    let spare =
        if wish.requested_priority() == Priority::Urgent { 0 } else { twin.workers.len() / 4 };
    holders.len() + spare
}

/// Returns the jobs that are told that room is kept for them.
fn holders(decided: &[Decision]) -> impl Iterator<Item = Name> {
    decided.iter().filter_map(|decision| match decision {
        Decision::Wait { job, reason: Reason::AwaitsEviction { .. } | Reason::Kept { .. } } => {
            Some(job.clone())
        }
        _ => None,
    })
}

fn rank(wish: &PlacementRequest) -> u8 {
    match wish.requested_priority() {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Scavenger => 2,
    }
}

/// Checks that what the fleet keeps up to date equals what the twin sums up.
fn check_index(fleet: &Fleet, twin: &Twin) -> Result<(), TestCaseError> {
    for view in fleet.workers() {
        prop_assert_eq!(view.free(), twin.free(view.name()));
    }
    for customer in CUSTOMERS {
        let customer = Name::from(customer);
        prop_assert_eq!(fleet.allocated_to(&customer), twin.holding(&customer));
    }
    Ok(())
}

/// A site under random events, with the planner's part played by hand.
struct Site {
    fleet: Fleet,
    placer: Placer,
    states: BTreeMap<Name, WorkerState>,
    queue: Vec<PlacementRequest>,
    now: u64,
    number: usize,
    holders: BTreeSet<Name>,
    rng: StdRng,
}

impl Site {
    fn new(workers: &[(u64, u32)]) -> Self {
        let mut fleet = Fleet::default();
        for (at, (cpus, accelerators)) in workers.iter().enumerate() {
            fleet.put_worker(worker(at, *cpus, *accelerators));
        }
        Self {
            fleet,
            placer: Placer::new(&document()),
            states: BTreeMap::new(),
            queue: Vec::new(),
            now: 1000,
            number: 0,
            holders: BTreeSet::new(),
            rng: StdRng::seed_from_u64(3),
        }
    }

    fn running(&self) -> Vec<Name> {
        let tasks = self.fleet.workers().flat_map(|view| view.running().iter());
        let mut jobs: Vec<Name> = tasks.map(|task| task.job().clone()).collect();
        jobs.sort();
        jobs
    }

    fn apply(&mut self, step: &Step) {
        let running = self.running();
        match step {
            Step::Submit { customer, class, need, priority } => {
                let job = format!("job-{}", self.number);
                self.number += 1;
                let wish = PlacementRequest::new(job, CUSTOMERS[*customer], CLASSES[*class], *need);
                self.queue.push(wish.priority(*priority).submitted(Millis(self.now)));
            }
            Step::EndOne(which) if !running.is_empty() => {
                self.fleet.remove_task(&running[which % running.len()]);
            }
            Step::Grow(which, cpus) if !running.is_empty() => {
                let usage = Resources { milli_cpus: *cpus, memory_mb: 1, accelerators: 0 };
                let job = &running[which % running.len()];
                self.fleet.update_task(job, |task| task.usage(usage));
            }
            Step::State(which, state) => {
                let worker = Name::from(format!("w{}", which % self.fleet.workers().count()));
                self.fleet.set_state(&worker, *state);
                self.states.insert(worker, *state);
            }
            Step::Cancel(which) if !self.queue.is_empty() => {
                self.queue.swap_remove(which % self.queue.len());
            }
            Step::Later(ms) => self.now += ms,
            _ => {}
        }
    }

    fn place(&mut self) -> Result<Vec<Decision>, TestCaseError> {
        let twin = Twin::new(&self.fleet, &self.states);
        check_index(&self.fleet, &twin)?;
        let decided = self.placer.place(Millis(self.now), &self.queue, &self.fleet, &mut self.rng);
        let now: BTreeSet<Name> = holders(&decided).collect();
        self.holders.extend(now.iter().cloned());
        check(&decided, &self.queue, twin, &self.holders)?;
        self.holders = now;
        for decision in &decided {
            let Decision::Start { job, worker, need, .. } = decision else { continue };
            let at = self.queue.iter().position(|wish| wish.job() == job).expect("a wish");
            let wish = self.queue.swap_remove(at);
            let (customer, class) = (wish.customer().clone(), wish.class().clone());
            let task = TaskView::new(job.clone(), customer, class, *wish.need(), Millis(self.now));
            let task = task.reserved(*need).priority(wish.requested_priority());
            prop_assert!(self.fleet.add_task(worker, task));
        }
        Ok(decided)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Whatever comes in whatever order: no VM over its allowance, no quota broken, urgent before
    /// normal, the twin's answer on what could ever run, and nobody waits where there is room.
    #[test]
    fn decides_as_a_naive_twin_allows(
        workers in prop::collection::vec((2..8u64, 0..3u32), 1..7),
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut site = Site::new(&workers);
        for step in &steps {
            site.apply(step);
            site.place()?;
        }
    }

    /// A decision that cannot be replayed from its seed cannot be explained after an incident.
    #[test]
    fn decides_alike_from_the_same_seed(
        workers in prop::collection::vec((2..8u64, 0..3u32), 1..7),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let (mut one, mut other) = (Site::new(&workers), Site::new(&workers));
        for step in &steps {
            one.apply(step);
            other.apply(step);
            prop_assert_eq!(one.place()?, other.place()?);
        }
    }
}
