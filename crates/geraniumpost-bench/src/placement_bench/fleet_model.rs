use std::collections::HashMap;

use geraniumpost_core::Millis;
use geraniumpost_core::placement::{
    Decision, Fleet, Observation, PlacementRequest, RunOutcome, TaskView, WorkerView,
};
use geraniumpost_schema::{Name, Resources};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::distributions::{draw_log_normal, draw_normal};
use super::policy::Policy;
use super::scenario::{CAPACITY, HORIZON_MS, RESERVE, Scenario};
use super::tally::{Figures, Tally};
use super::worker_model::{Effect, TaskLoad, effect, queueing_factor};

/// Time step of the model.
const TICK_MS: u64 = 250;
/// Interval between decisions.
const PLACE_MS: u64 = 500;
/// Interval between a worker's reports.
const REPORT_MS: u64 = 1000;
/// Interval between a task's checkpoints.
const CHECKPOINT_MS: u64 = 60_000;
/// Time that a task takes to start and to stop.
const START_STOP_MS: u64 = 1000;
/// Time after which a poison job, or any job on a black-hole worker, fails.
const FAILS_AFTER_MS: u64 = 1500;
/// Base of the exponential back-off, which doubles with each failure.
const BACK_OFF_MS: u64 = 2000;
/// Failures after which a job is given up, as in the jobs module.
const MAX_ATTEMPTS: u32 = 4;

/// True state of a running task.
struct RunningTask {
    job: usize,
    worker: usize,
    started_at: u64,
    /// Remaining work in milliseconds at full speed.
    left: f64,
    /// Remaining work at the latest checkpoint.
    left_at_checkpoint: f64,
    checkpointed_at: u64,
    permille: u32,
    stop_at: u64,
}

/// A job that is neither running nor finished.
struct WaitingJob {
    left: f64,
    failures: u32,
    not_before: u64,
    /// Time of arrival; an evicted job keeps it and thus its position in the queue.
    since: u64,
    started_once: bool,
}

/// Model of a fleet during one run of one policy over one stream.
pub struct FleetModel<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    fleet: Fleet,
    job_by_name: HashMap<Name, usize>,
    worker_by_name: HashMap<Name, usize>,
    waiting: HashMap<usize, WaitingJob>,
    failures: HashMap<usize, u32>,
    running: Vec<RunningTask>,
    reports: Vec<(u64, Observation)>,
    /// Short-term variation of each worker's load.
    drift: Vec<f64>,
    tally: Tally,
    workload_rng: StdRng,
    policy_rng: StdRng,
    trace: bool,
}

/// Runs a policy over a stream and returns the results.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Figures {
    let mut model = FleetModel::new(scenario, policy, seed);
    let mut arriving = 0;
    for now in (0..HORIZON_MS).step_by(TICK_MS as usize) {
        while scenario.jobs.get(arriving).is_some_and(|job| job.arrives <= now) {
            model.add_waiting(arriving);
            arriving += 1;
        }
        model.cancel_jobs(now);
        model.stop_evicted(now);
        model.step(now);
        model.deliver_reports(now);
        if now.is_multiple_of(PLACE_MS) {
            model.decide(now);
        }
    }
    model.tally.figures()
}

impl<'a> FleetModel<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
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
            policy,
            fleet,
            job_by_name: scenario.jobs.iter().map(|j| &j.name).enumerate().map(names).collect(),
            worker_by_name: scenario
                .workers
                .iter()
                .map(|w| &w.name)
                .enumerate()
                .map(names)
                .collect(),
            waiting: HashMap::new(),
            failures: HashMap::new(),
            running: Vec::new(),
            reports: Vec::new(),
            drift: vec![0.0; scenario.workers.len()],
            tally: Tally::default(),
            workload_rng: StdRng::seed_from_u64(seed),
            policy_rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            trace: std::env::var_os("PLACEMENT_TRACE").is_some(),
        }
    }

    fn add_waiting(&mut self, job: usize) {
        let truth = &self.scenario.jobs[job];
        let waiting = WaitingJob {
            left: truth.work_ms,
            failures: 0,
            not_before: 0,
            since: truth.arrives,
            started_once: false,
        };
        self.waiting.insert(job, waiting);
    }

    fn cancel_jobs(&mut self, now: u64) {
        let jobs = &self.scenario.jobs;
        self.waiting.retain(|job, _| jobs[*job].cancelled > now);
        for at in (0..self.running.len()).rev() {
            let job = self.running[at].job;
            if jobs[job].cancelled <= now {
                let task = self.running.swap_remove(at);
                self.record_end(&task, now, RunOutcome::Stopped);
            }
        }
    }

    /// Ends tasks whose eviction takes effect; their jobs wait to resume from the checkpoint.
    fn stop_evicted(&mut self, now: u64) {
        for at in (0..self.running.len()).rev() {
            if self.running[at].stop_at > now {
                continue;
            }
            let task = self.running.swap_remove(at);
            self.record_end(&task, now, RunOutcome::Stopped);
            self.requeue(&task, now, 0);
        }
    }

    /// Returns a job to the queue and counts the work that its last run lost.
    fn requeue(&mut self, task: &RunningTask, now: u64, back_off: u64) {
        let truth = &self.scenario.jobs[task.job];
        self.tally.wasted += (task.left_at_checkpoint - task.left) * truth.real.milli_cpus as f64;
        let waiting = WaitingJob {
            left: task.left_at_checkpoint,
            failures: self.failures.get(&task.job).copied().unwrap_or(0),
            not_before: now + back_off,
            since: truth.arrives,
            started_once: true,
        };
        self.waiting.insert(task.job, waiting);
    }

    fn record_end(&mut self, task: &RunningTask, now: u64, outcome: RunOutcome) {
        let job = self.scenario.jobs[task.job].name.clone();
        let worker = self.scenario.workers[task.worker].name.clone();
        self.fleet.remove_task(&job);
        let observation = Observation::Ended { job, worker, outcome, at: Millis(now) };
        (self.policy.observe)(Millis(now), &observation);
    }

    fn step(&mut self, now: u64) {
        let mut by_worker: Vec<Vec<usize>> = vec![Vec::new(); self.scenario.workers.len()];
        for (at, task) in self.running.iter().enumerate() {
            by_worker[task.worker].push(at);
        }
        for (worker, tasks) in by_worker.iter().enumerate() {
            self.step_worker(now, worker, tasks);
        }
        self.end_finished(now);
    }

    fn step_worker(&mut self, now: u64, worker: usize, tasks: &[usize]) {
        let truth = &self.scenario.workers[worker];
        self.drift[worker] = 0.98 * self.drift[worker] + 0.01 * draw_normal(&mut self.workload_rng);
        let load = (truth.load(now) + self.drift[worker]).clamp(0.05, 0.98);
        let task_load: Vec<TaskLoad> =
            tasks.iter().map(|at| self.task_load(now, &self.running[*at], truth.service)).collect();
        let effect = effect(load, &task_load);
        let service = &self.scenario.services[truth.service];
        let alone = service.base_us * queueing_factor(load);
        let late = alone * effect.slowdown > service.target_ms as f64 * 1000.0;
        self.tally.record_step(effect.overcommitted);
        self.tally.record_latency(effect.slowdown, load, late);
        if now.is_multiple_of(REPORT_MS) {
            self.queue_reports(now, worker, load, alone * effect.slowdown, tasks);
        }
        self.advance(now, tasks, &effect);
        self.kill_out_of_memory(tasks, &effect);
    }

    fn task_load(&self, now: u64, task: &RunningTask, service: usize) -> TaskLoad {
        let truth = &self.scenario.jobs[task.job];
        let noise_periods = self.scenario.noise_periods.iter();
        let factor: f64 = noise_periods
            .filter(|p| p.class == truth.class && p.from <= now && now < p.to)
            .map(|p| p.factor)
            .product();
        let milli_cpus = truth.real.milli_cpus as f64 * f64::from(task.permille) / 1000.0;
        TaskLoad { milli_cpus, noise: factor * self.scenario.classes[truth.class].noise[service] }
    }

    /// Queues the reports on a worker, which arrive two to five seconds late.
    fn queue_reports(&mut self, now: u64, worker: usize, load: f64, p99_us: f64, tasks: &[usize]) {
        let arrives = now + self.workload_rng.random_range(2000..5000);
        let truth = &self.scenario.workers[worker];
        let measured = p99_us * draw_log_normal(&mut self.workload_rng, 0.12);
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
            if now.saturating_sub(task.started_at) < START_STOP_MS {
                continue;
            }
            let share =
                f64::from(task.permille) / 1000.0 * draw_log_normal(&mut self.workload_rng, 0.05);
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

    fn advance(&mut self, now: u64, tasks: &[usize], effect: &Effect) {
        for at in tasks {
            let task = &mut self.running[*at];
            if now < task.started_at + START_STOP_MS {
                continue;
            }
            let done = TICK_MS as f64 * effect.speed * f64::from(task.permille) / 1000.0;
            task.left -= done;
            let cores = self.scenario.jobs[task.job].real.milli_cpus as f64;
            self.tally.done += done * cores;
            if now - task.checkpointed_at >= CHECKPOINT_MS {
                task.checkpointed_at = now;
                task.left_at_checkpoint = task.left;
                let job = &self.scenario.jobs[task.job].name;
                self.fleet.update_task(job, |view| view.checkpointed(Millis(now)));
            }
        }
    }

    /// Kills the task that exceeds its declared memory most if the VM runs out of memory, as the
    /// kernel would.
    fn kill_out_of_memory(&mut self, tasks: &[usize], effect: &Effect) {
        let real = |at: &usize| &self.scenario.jobs[self.running[*at].job];
        let used: u64 = tasks.iter().map(|at| real(at).real.memory_mb).sum();
        if used + effect.service.memory_mb <= CAPACITY.memory_mb {
            return;
        }
        let excess =
            |at: &&usize| real(at).real.memory_mb.saturating_sub(real(at).declared.memory_mb);
        let Some(&victim) = tasks.iter().max_by_key(excess) else { return };
        self.running[victim].left = f64::NAN;
        self.tally.memory_kills += 1;
    }

    /// Ends tasks that completed or failed in this step.
    fn end_finished(&mut self, now: u64) {
        for at in (0..self.running.len()).rev() {
            let task = &self.running[at];
            let truth = &self.scenario.jobs[task.job];
            let (from, to) = self.scenario.workers[task.worker].black_hole;
            let black_hole = from <= now && now < to;
            let failed = now >= task.started_at + FAILS_AFTER_MS && (truth.poison || black_hole);
            if failed || task.left.is_nan() {
                let task = self.running.swap_remove(at);
                self.handle_failure(task, now);
            } else if task.left <= 0.0 {
                let task = self.running.swap_remove(at);
                self.tally.useful += truth.work_ms * truth.real.milli_cpus as f64;
                self.tally.completed += 1;
                self.record_end(&task, now, RunOutcome::Completed);
            }
        }
    }

    fn handle_failure(&mut self, mut task: RunningTask, now: u64) {
        if task.left.is_nan() {
            // A task killed for lack of memory loses its work since the checkpoint.
            let ran = now.saturating_sub(task.checkpointed_at.max(task.started_at)) as f64;
            task.left = (task.left_at_checkpoint - ran).max(0.0);
        }
        self.record_end(&task, now, RunOutcome::Failed);
        let failures = self.failures.entry(task.job).or_default();
        *failures += 1;
        let back_off = BACK_OFF_MS << (*failures).min(6);
        self.requeue(&task, now, back_off);
    }

    fn deliver_reports(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.reports).into_iter().partition(|r| r.0 <= now);
        self.reports = later;
        let mut due: Vec<(u64, Observation)> = due;
        due.sort_by_key(|report| report.0);
        for (_, observation) in due {
            self.apply_observation(&observation);
            (self.policy.observe)(Millis(now), &observation);
        }
    }

    fn apply_observation(&mut self, observation: &Observation) {
        match observation {
            Observation::Latency { worker, load_permille, p99_us, .. } => {
                self.fleet.set_load(worker, *load_permille, *p99_us);
            }
            Observation::Usage { job, usage, .. } if self.policy.measures_usage => {
                self.fleet.update_task(job, |task| task.usage(*usage));
            }
            _ => {}
        }
    }

    fn decide(&mut self, now: u64) {
        let requests = self.placement_requests();
        let decisions =
            (self.policy.decide)(Millis(now), &requests, &self.fleet, &mut self.policy_rng);
        for decision in decisions {
            if self.trace && !matches!(decision, Decision::Wait { .. }) {
                eprintln!("{now} {decision}");
            }
            self.apply_decision(now, decision);
        }
        self.give_up_failing_jobs();
    }

    fn placement_requests(&self) -> Vec<PlacementRequest> {
        let mut jobs: Vec<_> = self.waiting.iter().collect();
        jobs.sort_by_key(|(job, _)| **job);
        let request = |(job, waiting): (&usize, &WaitingJob)| {
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
        jobs.into_iter().map(request).collect()
    }

    fn apply_decision(&mut self, now: u64, decision: Decision) {
        match decision {
            Decision::Start { job, worker, need, .. } => self.start(now, &job, &worker, need),
            Decision::Evict { job, .. } => {
                let job = self.job_by_name[&job];
                if let Some(task) = self.running.iter_mut().find(|task| task.job == job) {
                    task.stop_at = task.stop_at.min(now + START_STOP_MS);
                    self.tally.evictions += 1;
                }
            }
            Decision::Throttle { job, worker, permille, .. } => {
                let at = self.job_by_name[&job];
                if let Some(task) = self.running.iter_mut().find(|task| task.job == at) {
                    task.permille = permille;
                    self.tally.throttles += 1;
                    self.fleet.update_task(&job, |view| view.permille(permille));
                    let at = Millis(now);
                    let observation = Observation::Throttled { job, worker, permille, at };
                    (self.policy.observe)(Millis(now), &observation);
                }
            }
            Decision::GiveUp { job, .. } | Decision::Impossible { job, .. } => {
                let job = self.job_by_name[&job];
                self.give_up_job(job);
            }
            Decision::Quarantine { .. } => self.tally.quarantines += 1,
            Decision::Wait { .. } | Decision::Release { .. } => {}
        }
    }

    fn start(&mut self, now: u64, job: &Name, worker: &Name, need: Resources) {
        let at = self.job_by_name[job];
        let Some(waiting) = self.waiting.remove(&at) else { return };
        let truth = &self.scenario.jobs[at];
        let class = &self.scenario.classes[truth.class];
        let urgent = class.priority == geraniumpost_schema::Priority::Urgent;
        if urgent && !waiting.started_once {
            self.tally.record_urgent_start(now - truth.arrives);
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
        let worker_at = self.worker_by_name[worker];
        self.running.push(RunningTask {
            job: at,
            worker: worker_at,
            started_at: now,
            left: waiting.left,
            left_at_checkpoint: waiting.left,
            checkpointed_at: now,
            permille: 1000,
            stop_at: u64::MAX,
        });
        let observation = Observation::Started {
            job: job.clone(),
            customer: truth.customer.clone(),
            class: class.name.into(),
            worker: worker.clone(),
            need,
            at: Millis(now),
        };
        (self.policy.observe)(Millis(now), &observation);
    }

    /// Gives up jobs that have failed too often, as the jobs module does.
    fn give_up_failing_jobs(&mut self) {
        if self.policy.limits_attempts {
            return;
        }
        let exhausted = |(job, waiting): (&usize, &WaitingJob)| {
            (waiting.failures >= MAX_ATTEMPTS).then_some(*job)
        };
        let given_up: Vec<usize> = self.waiting.iter().filter_map(exhausted).collect();
        for job in given_up {
            self.give_up_job(job);
        }
    }

    /// Gives up a job and counts its completed work as wasted.
    fn give_up_job(&mut self, job: usize) {
        let Some(waiting) = self.waiting.remove(&job) else { return };
        let truth = &self.scenario.jobs[job];
        self.tally.wasted += (truth.work_ms - waiting.left) * truth.real.milli_cpus as f64;
        if !truth.poison {
            self.tally.sound_given_up += 1;
        }
    }
}
