use std::collections::HashMap;

use geraniumpost_core::Millis;
use geraniumpost_core::placement::{
    Decision, Fleet, Observation, PlacementRequest, RunOutcome, TaskView, WorkerView,
};
use geraniumpost_schema::{Name, Resources};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::contender::Contender;
use super::dice::{normal, spread};
use super::scenario::{CAPACITY, HORIZON_MS, RESERVE, Scenario};
use super::tally::{Figures, Tally};
use super::worker_model::{Effect, Pressing, effect, queueing};

/// Step of the model.
const TICK_MS: u64 = 250;
/// Interval between decisions.
const PLACE_MS: u64 = 500;
/// Interval between a worker's reports.
const REPORT_MS: u64 = 1000;
/// Interval between a task's checkpoints.
const CHECKPOINT_MS: u64 = 60_000;
/// Time a task takes to begin and to stop.
const CHANGE_MS: u64 = 1000;
/// Time after which a poison job, or any job on a black hole, fails.
const FAILS_AFTER_MS: u64 = 1500;
/// First back-off after a failure; it doubles with each.
const BACK_OFF_MS: u64 = 2000;
/// Failures after which the jobs module gives a job up.
const MAX_ATTEMPTS: u32 = 4;

/// A running task as it truly is.
struct Running {
    job: usize,
    worker: usize,
    began: u64,
    /// Work left in milliseconds at full speed.
    left: f64,
    /// Work left at the latest checkpoint.
    saved: f64,
    checkpointed: u64,
    permille: u32,
    stops_at: u64,
}

/// A job that is not running and not finished.
struct Waiting {
    left: f64,
    failures: u32,
    not_before: u64,
    /// Since when it waits; an evicted job keeps its place.
    since: u64,
    started_once: bool,
}

/// One run of one policy over one stream.
pub struct World<'a> {
    scenario: &'a Scenario,
    contender: Contender,
    fleet: Fleet,
    by_name: HashMap<Name, usize>,
    worker_index: HashMap<Name, usize>,
    waiting: HashMap<usize, Waiting>,
    failures: HashMap<usize, u32>,
    running: Vec<Running>,
    reports: Vec<(u64, Observation)>,
    drift: Vec<f64>,
    tally: Tally,
    nature: StdRng,
    dice: StdRng,
    trace: bool,
}

/// Runs a policy over a stream and returns its figures.
pub fn run(scenario: &Scenario, contender: Contender, seed: u64) -> Figures {
    let mut world = World::new(scenario, contender, seed);
    let mut arriving = 0;
    for now in (0..HORIZON_MS).step_by(TICK_MS as usize) {
        while scenario.jobs.get(arriving).is_some_and(|job| job.arrives <= now) {
            world.arrive(arriving);
            arriving += 1;
        }
        world.cancel(now);
        world.stop(now);
        world.step(now);
        world.deliver(now);
        if now.is_multiple_of(PLACE_MS) {
            world.decide(now);
        }
    }
    world.tally.figures()
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, contender: Contender, seed: u64) -> Self {
        let mut fleet = Fleet::default();
        for worker in &scenario.workers {
            let service = scenario.services[worker.service].name;
            let view = WorkerView::new(
                worker.name.clone(),
                worker.domain.clone(),
                worker.rack.clone(),
                CAPACITY,
            );
            fleet.put_worker(view.service(service).reserve(RESERVE));
        }
        let names = |(i, name): (usize, &Name)| (name.clone(), i);
        Self {
            scenario,
            contender,
            fleet,
            by_name: scenario.jobs.iter().map(|j| &j.name).enumerate().map(names).collect(),
            worker_index: scenario.workers.iter().map(|w| &w.name).enumerate().map(names).collect(),
            waiting: HashMap::new(),
            failures: HashMap::new(),
            running: Vec::new(),
            reports: Vec::new(),
            drift: vec![0.0; scenario.workers.len()],
            tally: Tally::default(),
            nature: StdRng::seed_from_u64(seed),
            dice: StdRng::seed_from_u64(seed ^ 0x5eed),
            trace: std::env::var_os("PLACEMENT_TRACE").is_some(),
        }
    }

    fn arrive(&mut self, job: usize) {
        let truth = &self.scenario.jobs[job];
        let waiting = Waiting {
            left: truth.work_ms,
            failures: 0,
            not_before: 0,
            since: truth.arrives,
            started_once: false,
        };
        self.waiting.insert(job, waiting);
    }

    fn cancel(&mut self, now: u64) {
        let jobs = &self.scenario.jobs;
        self.waiting.retain(|job, _| jobs[*job].cancelled > now);
        for at in (0..self.running.len()).rev() {
            let job = self.running[at].job;
            if jobs[job].cancelled <= now {
                let task = self.running.swap_remove(at);
                self.ended(&task, now, RunOutcome::Stopped);
            }
        }
    }

    /// Ends tasks whose eviction has come through; they resume from their checkpoint.
    fn stop(&mut self, now: u64) {
        for at in (0..self.running.len()).rev() {
            if self.running[at].stops_at > now {
                continue;
            }
            let task = self.running.swap_remove(at);
            self.ended(&task, now, RunOutcome::Stopped);
            self.requeue(&task, now, 0);
        }
    }

    /// Puts a job back into the queue and counts the work that its last run lost.
    fn requeue(&mut self, task: &Running, now: u64, back_off: u64) {
        let truth = &self.scenario.jobs[task.job];
        self.tally.wasted += (task.saved - task.left) * truth.real.milli_cpus as f64;
        let waiting = Waiting {
            left: task.saved,
            failures: self.failures.get(&task.job).copied().unwrap_or(0),
            not_before: now + back_off,
            since: truth.arrives,
            started_once: true,
        };
        self.waiting.insert(task.job, waiting);
    }

    fn ended(&mut self, task: &Running, now: u64, outcome: RunOutcome) {
        let job = self.scenario.jobs[task.job].name.clone();
        let worker = self.scenario.workers[task.worker].name.clone();
        self.fleet.remove_task(&job);
        let seen = Observation::Ended { job, worker, outcome, at: Millis(now) };
        (self.contender.learn)(Millis(now), &seen);
    }

    fn step(&mut self, now: u64) {
        let mut by_worker: Vec<Vec<usize>> = vec![Vec::new(); self.scenario.workers.len()];
        for (at, task) in self.running.iter().enumerate() {
            by_worker[task.worker].push(at);
        }
        for (worker, tasks) in by_worker.iter().enumerate() {
            self.step_worker(now, worker, tasks);
        }
        self.finish(now);
    }

    fn step_worker(&mut self, now: u64, worker: usize, tasks: &[usize]) {
        let truth = &self.scenario.workers[worker];
        self.drift[worker] = 0.98 * self.drift[worker] + 0.01 * normal(&mut self.nature);
        let load = (truth.load(now) + self.drift[worker]).clamp(0.05, 0.98);
        let pressing: Vec<Pressing> =
            tasks.iter().map(|at| self.pressing(now, &self.running[*at], truth.service)).collect();
        let effect = effect(load, &pressing);
        let service = &self.scenario.services[truth.service];
        let alone = service.base_us * queueing(load);
        let late = alone * effect.slowdown > service.target_ms as f64 * 1000.0;
        self.tally.step(effect.overfull);
        self.tally.latency(effect.slowdown, load, late);
        if now.is_multiple_of(REPORT_MS) {
            self.report(now, worker, load, alone * effect.slowdown, tasks);
        }
        self.progress(now, tasks, &effect);
        self.out_of_memory(tasks, &effect);
    }

    fn pressing(&self, now: u64, task: &Running, service: usize) -> Pressing {
        let truth = &self.scenario.jobs[task.job];
        let waves = self.scenario.waves.iter();
        let wave: f64 = waves
            .filter(|w| w.class == truth.class && w.from <= now && now < w.to)
            .map(|w| w.factor)
            .product();
        let milli_cpus = truth.real.milli_cpus as f64 * f64::from(task.permille) / 1000.0;
        Pressing { milli_cpus, noise: wave * self.scenario.classes[truth.class].noise[service] }
    }

    /// Queues a worker's reports, which arrive two to five seconds late.
    fn report(&mut self, now: u64, worker: usize, load: f64, p99_us: f64, tasks: &[usize]) {
        let arrives = now + self.nature.random_range(2000..5000);
        let truth = &self.scenario.workers[worker];
        let measured = p99_us * spread(&mut self.nature, 0.12);
        let latency = Observation::Latency {
            worker: truth.name.clone(),
            service: self.scenario.services[truth.service].name.into(),
            load_permille: (load * 1000.0) as u32,
            p99_us: measured as u64,
            at: Millis(now),
        };
        self.reports.push((arrives, latency));
        for at in tasks {
            let task = &self.running[*at];
            let job = &self.scenario.jobs[task.job];
            if now.saturating_sub(task.began) < CHANGE_MS {
                continue;
            }
            let share = f64::from(task.permille) / 1000.0 * spread(&mut self.nature, 0.05);
            let milli_cpus = (job.real.milli_cpus as f64 * share) as u64;
            let usage = Observation::Usage {
                job: job.name.clone(),
                customer: job.customer.clone(),
                class: self.scenario.classes[job.class].name.into(),
                need: job.declared,
                usage: Resources { milli_cpus, ..job.real },
                at: Millis(now),
            };
            self.reports.push((arrives, usage));
        }
    }

    fn progress(&mut self, now: u64, tasks: &[usize], effect: &Effect) {
        for at in tasks {
            let task = &mut self.running[*at];
            if now < task.began + CHANGE_MS {
                continue;
            }
            let done = TICK_MS as f64 * effect.speed * f64::from(task.permille) / 1000.0;
            task.left -= done;
            let cores = self.scenario.jobs[task.job].real.milli_cpus as f64;
            self.tally.done += done * cores;
            if now - task.checkpointed >= CHECKPOINT_MS {
                task.checkpointed = now;
                task.saved = task.left;
                let job = &self.scenario.jobs[task.job].name;
                self.fleet.update_task(job, |view| view.checkpointed(Millis(now)));
            }
        }
    }

    /// Lets the kernel kill the task that is most over its size when memory runs out.
    fn out_of_memory(&mut self, tasks: &[usize], effect: &Effect) {
        let real = |at: &usize| &self.scenario.jobs[self.running[*at].job];
        let used: u64 = tasks.iter().map(|at| real(at).real.memory_mb).sum();
        if used + effect.service.memory_mb <= CAPACITY.memory_mb {
            return;
        }
        let over =
            |at: &&usize| real(at).real.memory_mb.saturating_sub(real(at).declared.memory_mb);
        let Some(&victim) = tasks.iter().max_by_key(over) else { return };
        self.running[victim].left = f64::NAN;
        self.tally.kills += 1;
    }

    /// Ends tasks that completed or failed in this step.
    fn finish(&mut self, now: u64) {
        for at in (0..self.running.len()).rev() {
            let task = &self.running[at];
            let truth = &self.scenario.jobs[task.job];
            let (from, to) = self.scenario.workers[task.worker].black_hole;
            let hole = from <= now && now < to;
            let fails = now >= task.began + FAILS_AFTER_MS && (truth.poison || hole);
            if fails || task.left.is_nan() {
                let task = self.running.swap_remove(at);
                self.failed(task, now);
            } else if task.left <= 0.0 {
                let task = self.running.swap_remove(at);
                self.tally.useful += truth.work_ms * truth.real.milli_cpus as f64;
                self.tally.completed += 1;
                self.ended(&task, now, RunOutcome::Completed);
            }
        }
    }

    fn failed(&mut self, mut task: Running, now: u64) {
        if task.left.is_nan() {
            // An out-of-memory kill loses what was done since the checkpoint.
            let ran = now.saturating_sub(task.checkpointed.max(task.began)) as f64;
            task.left = (task.saved - ran).max(0.0);
        }
        self.ended(&task, now, RunOutcome::Failed);
        let failures = self.failures.entry(task.job).or_default();
        *failures += 1;
        let back_off = BACK_OFF_MS << (*failures).min(6);
        self.requeue(&task, now, back_off);
    }

    fn deliver(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.reports).into_iter().partition(|r| r.0 <= now);
        self.reports = later;
        let mut due: Vec<(u64, Observation)> = due;
        due.sort_by_key(|report| report.0);
        for (_, seen) in due {
            self.apply(&seen);
            (self.contender.learn)(Millis(now), &seen);
        }
    }

    fn apply(&mut self, seen: &Observation) {
        match seen {
            Observation::Latency { worker, load_permille, p99_us, .. } => {
                self.fleet.set_load(worker, *load_permille, *p99_us);
            }
            Observation::Usage { job, usage, .. } if self.contender.measures_usage => {
                self.fleet.update_task(job, |task| task.usage(*usage));
            }
            _ => {}
        }
    }

    fn decide(&mut self, now: u64) {
        let wishes = self.wishes();
        let decisions = (self.contender.decide)(Millis(now), &wishes, &self.fleet, &mut self.dice);
        for decision in decisions {
            if self.trace && !matches!(decision, Decision::Wait { .. }) {
                eprintln!("{now} {decision}");
            }
            self.carry_out(now, decision);
        }
        self.give_up();
    }

    fn wishes(&self) -> Vec<PlacementRequest> {
        let mut jobs: Vec<_> = self.waiting.iter().collect();
        jobs.sort_by_key(|(job, _)| **job);
        let wish = |(job, waiting): (&usize, &Waiting)| {
            let truth = &self.scenario.jobs[*job];
            let class = &self.scenario.classes[truth.class];
            PlacementRequest::new(
                truth.name.clone(),
                truth.customer.clone(),
                class.name,
                truth.declared,
            )
            .priority(class.priority)
            .submitted(Millis(waiting.since))
            .not_before(Millis(waiting.not_before))
        };
        jobs.into_iter().map(wish).collect()
    }

    fn carry_out(&mut self, now: u64, decision: Decision) {
        match decision {
            Decision::Start { job, worker, need, .. } => self.start(now, &job, &worker, need),
            Decision::Evict { job, .. } => {
                let job = self.by_name[&job];
                if let Some(task) = self.running.iter_mut().find(|task| task.job == job) {
                    task.stops_at = task.stops_at.min(now + CHANGE_MS);
                    self.tally.evictions += 1;
                }
            }
            Decision::Throttle { job, worker, permille, .. } => {
                let at = self.by_name[&job];
                if let Some(task) = self.running.iter_mut().find(|task| task.job == at) {
                    task.permille = permille;
                    self.tally.throttles += 1;
                    self.fleet.update_task(&job, |view| view.permille(permille));
                    let at = Millis(now);
                    let seen = Observation::Throttled { job, worker, permille, at };
                    (self.contender.learn)(Millis(now), &seen);
                }
            }
            Decision::GiveUp { job, .. } | Decision::Impossible { job, .. } => {
                let job = self.by_name[&job];
                self.drop_job(job);
            }
            Decision::Quarantine { .. } => self.tally.quarantines += 1,
            Decision::Wait { .. } | Decision::Release { .. } => {}
        }
    }

    fn start(&mut self, now: u64, job: &Name, worker: &Name, need: Resources) {
        let at = self.by_name[job];
        let Some(waiting) = self.waiting.remove(&at) else { return };
        let truth = &self.scenario.jobs[at];
        let class = &self.scenario.classes[truth.class];
        let urgent = class.priority == geraniumpost_schema::Priority::Urgent;
        if urgent && !waiting.started_once {
            self.tally.urgent(now - truth.arrives);
        }
        let view = TaskView::new(
            job.clone(),
            truth.customer.clone(),
            class.name,
            truth.declared,
            Millis(now),
        );
        let added = self.fleet.add_task(worker, view.priority(class.priority).reserved(need));
        assert!(added, "{job} was started twice or on an unknown worker {worker}");
        let worker_at = self.worker_index[worker];
        self.running.push(Running {
            job: at,
            worker: worker_at,
            began: now,
            left: waiting.left,
            saved: waiting.left,
            checkpointed: now,
            permille: 1000,
            stops_at: u64::MAX,
        });
        let seen = Observation::Started {
            job: job.clone(),
            customer: truth.customer.clone(),
            class: class.name.into(),
            worker: worker.clone(),
            need,
            at: Millis(now),
        };
        (self.contender.learn)(Millis(now), &seen);
    }

    /// Gives up jobs that failed too often, as the jobs module does.
    fn give_up(&mut self) {
        if self.contender.judges_failures {
            return;
        }
        let over =
            |(job, waiting): (&usize, &Waiting)| (waiting.failures >= MAX_ATTEMPTS).then_some(*job);
        let given_up: Vec<usize> = self.waiting.iter().filter_map(over).collect();
        for job in given_up {
            self.drop_job(job);
        }
    }

    /// Gives a job up; whatever it had saved is lost with it.
    fn drop_job(&mut self, job: usize) {
        let Some(waiting) = self.waiting.remove(&job) else { return };
        let truth = &self.scenario.jobs[job];
        self.tally.wasted += (truth.work_ms - waiting.left) * truth.real.milli_cpus as f64;
        if !truth.poison {
            self.tally.wronged += 1;
        }
    }
}
