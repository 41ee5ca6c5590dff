//! Checks the placer against a reference model that recomputes free capacity and allocations from
//! all tasks for each decision.

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

/// A change of the fleet, the queue or the clock between two calls of the placer. Indices of tasks,
/// workers and queued jobs are taken modulo their number.
#[derive(Debug, Clone)]
enum Event {
    Submit { customer: usize, class: usize, need: Resources, priority: Priority },
    EndTask(usize),
    ReportUsage(usize, u64),
    SetState(usize, WorkerState),
    Cancel(usize),
    AdvanceClock(u64),
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

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..3usize, 0..3usize, need(), priority()).prop_map(
            |(customer, class, need, priority)| Event::Submit { customer, class, need, priority }),
        3 => any::<usize>().prop_map(Event::EndTask),
        1 => (any::<usize>(), 0..6000u64).prop_map(|(index, cpus)| Event::ReportUsage(index, cpus)),
        1 => (any::<usize>(), state()).prop_map(|(index, state)| Event::SetState(index, state)),
        1 => any::<usize>().prop_map(Event::Cancel),
        2 => (1..20_000u64).prop_map(Event::AdvanceClock),
    ]
}

fn worker(index: usize, cpus: u64, accelerators: u32) -> WorkerView {
    let capacity = Resources { milli_cpus: cpus * 1000, memory_mb: 5000, accelerators };
    let reserve = Resources { milli_cpus: 500, memory_mb: 100, accelerators: 0 };
    let view = WorkerView::new(
        format!("w{index}"),
        format!("d{}", index % 2),
        format!("r{}", index / 2),
        capacity,
    );
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

/// Reference model that keeps no sums, but computes each sum from all tasks.
struct ReferenceModel {
    /// Allowance and state of each worker.
    workers: BTreeMap<Name, (Resources, WorkerState)>,
    /// Worker, customer and allocated resources of each job's task.
    tasks: BTreeMap<Name, (Name, Name, Resources)>,
}

impl ReferenceModel {
    fn new(fleet: &Fleet, states: &BTreeMap<Name, WorkerState>) -> Self {
        let mut tasks = BTreeMap::new();
        let mut workers = BTreeMap::new();
        for view in fleet.workers() {
            let state = states.get(view.name()).copied().unwrap_or_default();
            workers.insert(view.name().clone(), (view.allowance(), state));
            for task in view.all_tasks() {
                let entry = (view.name().clone(), task.customer().clone(), task.allocated());
                tasks.insert(task.job().clone(), entry);
            }
        }
        Self { workers, tasks }
    }

    fn free(&self, worker: &Name) -> Resources {
        let tasks = self.tasks.values().filter(|(on_worker, _, _)| on_worker == worker);
        let allocated =
            tasks.fold(amounts::NONE, |sum, (_, _, allocated)| amounts::plus(&sum, allocated));
        amounts::minus(&self.workers[worker].0, &allocated)
    }

    fn allocated_to(&self, customer: &Name) -> Resources {
        let tasks = self.tasks.values().filter(|(_, owner, _)| owner == customer);
        tasks.fold(amounts::NONE, |sum, (_, _, allocated)| amounts::plus(&sum, allocated))
    }

    fn workers_with_capacity(&self, need: &Resources) -> usize {
        let healthy = self.workers.iter().filter(|(_, (_, state))| *state == WorkerState::Healthy);
        healthy.filter(|(name, _)| amounts::fits(need, &self.free(name))).count()
    }

    fn could_ever_fit(&self, request: &PlacementRequest) -> bool {
        amounts::fits(request.need(), &QUOTA)
            && self.workers.values().any(|(allowance, _)| amounts::fits(request.need(), allowance))
    }

    fn is_within_quota(&self, request: &PlacementRequest) -> bool {
        self.is_within_quota_with_reservations(request, std::iter::empty())
    }

    /// Returns whether the job stays within its customer's quota if the quota is also used by the
    /// other jobs in `reserved`.
    fn is_within_quota_with_reservations<'a>(
        &self,
        request: &PlacementRequest,
        reserved: impl Iterator<Item = &'a PlacementRequest>,
    ) -> bool {
        let others =
            reserved.filter(|w| w.customer() == request.customer() && w.job() != request.job());
        let others = others.filter(|w| !self.tasks.contains_key(w.job()));
        let reserved = others.fold(*request.need(), |sum, other| amounts::plus(&sum, other.need()));
        amounts::fits(&amounts::plus(&self.allocated_to(request.customer()), &reserved), &QUOTA)
    }
}

/// Checks each decision against the model and then applies it to the model.
fn check_decisions(
    decided: &[Decision],
    requests: &[PlacementRequest],
    mut model: ReferenceModel,
    reservation_holders: &BTreeSet<Name>,
) -> Result<(), TestCaseError> {
    let request_of =
        |job: &Name| requests.iter().find(|request| request.job() == job).expect("a request");
    let starts = decided.iter().filter(|d| matches!(d, Decision::Start { .. }));
    let ranks: Vec<u8> =
        starts.map(|d| priority_rank(request_of(d.job().expect("a job")))).collect();
    prop_assert!(
        ranks.windows(2).all(|pair| pair[0] <= pair[1]),
        "priorities out of order: {ranks:?}"
    );
    let mut decided_jobs = 0;
    for decision in decided {
        match decision {
            Decision::Start { job, worker, need, .. } => {
                let request = request_of(job);
                let (_, state) = model.workers[worker];
                prop_assert_eq!(
                    state,
                    WorkerState::Healthy,
                    "{} starts on a worker that accepts no jobs",
                    job
                );
                prop_assert!(
                    amounts::fits(request.need(), need),
                    "{} is given less than declared",
                    job
                );
                prop_assert!(amounts::fits(need, &model.free(worker)), "{worker} is overcommitted");
                prop_assert!(model.is_within_quota(request), "{job} exceeds its quota");
                let entry = (worker.clone(), request.customer().clone(), *need);
                prop_assert!(
                    model.tasks.insert(job.clone(), entry).is_none(),
                    "{job} starts twice"
                );
                decided_jobs += 1;
            }
            Decision::Impossible { job, .. } => {
                prop_assert!(!model.could_ever_fit(request_of(job)), "{job} could run");
                decided_jobs += 1;
            }
            Decision::Wait { job, reason } => {
                let request = request_of(job);
                prop_assert!(
                    model.could_ever_fit(request),
                    "{job} should be rejected as impossible"
                );
                match reason {
                    Reason::QuotaReached { .. } => {
                        let reserved = requests
                            .iter()
                            .filter(|other| reservation_holders.contains(other.job()));
                        prop_assert!(!model.is_within_quota_with_reservations(request, reserved));
                    }
                    Reason::NoCapacity { .. } | Reason::EvictionBudgetSpent { .. } => {
                        let reserved_workers =
                            max_reserved_workers(reservation_holders, request, &model);
                        prop_assert!(
                            model.workers_with_capacity(request.need()) <= reserved_workers,
                            "{job} waits despite free capacity: {decided:#?}"
                        );
                    }
                    Reason::AwaitsEviction { .. } => {
                        prop_assert_eq!(request.requested_priority(), Priority::Urgent);
                    }
                    Reason::WorkerReserved { .. } => {
                        prop_assert_ne!(request.requested_priority(), Priority::Urgent);
                    }
                    other => prop_assert!(false, "unexpected {other}"),
                }
                decided_jobs += 1;
            }
            Decision::Evict { job, .. } => {
                prop_assert!(model.tasks.contains_key(job), "{job} does not run");
            }
            other => prop_assert!(false, "unexpected {other}"),
        }
    }
    prop_assert_eq!(decided_jobs, requests.len(), "each job needs one decision");
    Ok(())
}

/// Returns the maximum number of workers that have capacity but are not available for a job:
/// workers with reservations for other jobs and, unless the job is urgent, one worker in four,
/// which may keep capacity free for urgent jobs.
fn max_reserved_workers(
    reservation_holders: &BTreeSet<Name>,
    request: &PlacementRequest,
    model: &ReferenceModel,
) -> usize {
    let for_urgent =
        if request.requested_priority() == Priority::Urgent { 0 } else { model.workers.len() / 4 };
    reservation_holders.len() + for_urgent
}

/// Returns the jobs that wait while resources are reserved for them.
fn reservation_holders(decided: &[Decision]) -> impl Iterator<Item = Name> {
    decided.iter().filter_map(|decision| match decision {
        Decision::Wait {
            job,
            reason: Reason::AwaitsEviction { .. } | Reason::WorkerReserved { .. },
        } => Some(job.clone()),
        _ => None,
    })
}

/// Returns the position of a request's priority in the order of decisions, from 0 for urgent.
fn priority_rank(request: &PlacementRequest) -> u8 {
    match request.requested_priority() {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Scavenger => 2,
    }
}

/// Checks that the free capacity and allocations that the fleet maintains equal those of the model.
fn check_fleet(fleet: &Fleet, model: &ReferenceModel) -> Result<(), TestCaseError> {
    for view in fleet.workers() {
        prop_assert_eq!(view.free(), model.free(view.name()));
    }
    for customer in CUSTOMERS {
        let customer = Name::from(customer);
        prop_assert_eq!(fleet.allocated_to(&customer), model.allocated_to(&customer));
    }
    Ok(())
}

/// A planner that applies random events and the placer's starts to its fleet.
struct SimulatedPlanner {
    fleet: Fleet,
    placer: Placer,
    states: BTreeMap<Name, WorkerState>,
    queue: Vec<PlacementRequest>,
    now: u64,
    next_job: usize,
    /// Jobs for which the last call of the placer reported reserved resources.
    reservation_holders: BTreeSet<Name>,
    rng: StdRng,
}

impl SimulatedPlanner {
    fn new(workers: &[(u64, u32)]) -> Self {
        let mut fleet = Fleet::default();
        for (index, (cpus, accelerators)) in workers.iter().enumerate() {
            fleet.put_worker(worker(index, *cpus, *accelerators));
        }
        Self {
            fleet,
            placer: Placer::new(&document()),
            states: BTreeMap::new(),
            queue: Vec::new(),
            now: 1000,
            next_job: 0,
            reservation_holders: BTreeSet::new(),
            rng: StdRng::seed_from_u64(3),
        }
    }

    fn running(&self) -> Vec<Name> {
        let tasks = self.fleet.workers().flat_map(|view| view.all_tasks().iter());
        let mut jobs: Vec<Name> = tasks.map(|task| task.job().clone()).collect();
        jobs.sort();
        jobs
    }

    fn apply(&mut self, event: &Event) {
        let running = self.running();
        match event {
            Event::Submit { customer, class, need, priority } => {
                let job = format!("job-{}", self.next_job);
                self.next_job += 1;
                let request =
                    PlacementRequest::new(job, CUSTOMERS[*customer], CLASSES[*class], *need);
                self.queue.push(request.priority(*priority).submitted(Millis(self.now)));
            }
            Event::EndTask(index) if !running.is_empty() => {
                self.fleet.remove_task(&running[index % running.len()]);
            }
            Event::ReportUsage(index, cpus) if !running.is_empty() => {
                let usage = Resources { milli_cpus: *cpus, memory_mb: 1, accelerators: 0 };
                let job = &running[index % running.len()];
                self.fleet.update_task(job, |task| task.usage(usage));
            }
            Event::SetState(index, state) => {
                let worker = Name::from(format!("w{}", index % self.fleet.workers().count()));
                self.fleet.set_state(&worker, *state);
                self.states.insert(worker, *state);
            }
            Event::Cancel(index) if !self.queue.is_empty() => {
                self.queue.swap_remove(index % self.queue.len());
            }
            Event::AdvanceClock(ms) => self.now += ms,
            _ => {}
        }
    }

    fn place(&mut self) -> Result<Vec<Decision>, TestCaseError> {
        let model = ReferenceModel::new(&self.fleet, &self.states);
        check_fleet(&self.fleet, &model)?;
        let decided = self.placer.place(Millis(self.now), &self.queue, &self.fleet, &mut self.rng);
        let current: BTreeSet<Name> = reservation_holders(&decided).collect();
        self.reservation_holders.extend(current.iter().cloned());
        check_decisions(&decided, &self.queue, model, &self.reservation_holders)?;
        self.reservation_holders = current;
        for decision in &decided {
            let Decision::Start { job, worker, need, .. } = decision else { continue };
            let index =
                self.queue.iter().position(|request| request.job() == job).expect("a request");
            let request = self.queue.swap_remove(index);
            let (customer, class) = (request.customer().clone(), request.class().clone());
            let task =
                TaskView::new(job.clone(), customer, class, *request.need(), Millis(self.now));
            let task = task.reserved(*need).priority(request.requested_priority());
            prop_assert!(self.fleet.add_task(worker, task));
        }
        Ok(decided)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Under any sequence of events no VM exceeds its allowance, no quota is exceeded, urgent jobs
    /// start before normal jobs, jobs are rejected exactly if they can never run, and no job waits
    /// while a worker has capacity.
    #[test]
    fn decisions_agree_with_reference_model(
        workers in prop::collection::vec((2..8u64, 0..3u32), 1..7),
        events in prop::collection::vec(event(), 1..80),
    ) {
        let mut planner = SimulatedPlanner::new(&workers);
        for event in &events {
            planner.apply(event);
            planner.place()?;
        }
    }

    /// Decisions must be reproducible from the seed of the random numbers, so that an incident can
    /// be analyzed by a replay.
    #[test]
    fn same_seed_gives_same_decisions(
        workers in prop::collection::vec((2..8u64, 0..3u32), 1..7),
        events in prop::collection::vec(event(), 1..60),
    ) {
        let (mut first, mut second) =
            (SimulatedPlanner::new(&workers), SimulatedPlanner::new(&workers));
        for event in &events {
            first.apply(event);
            second.apply(event);
            prop_assert_eq!(first.place()?, second.place()?);
        }
    }
}
