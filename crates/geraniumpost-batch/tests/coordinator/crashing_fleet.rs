//! A fleet in which some tasks crash each minion that starts them.
//!
//! Agents outlive their minions and report a crash when the next incarnation responds, as
//! `batch/agent/state.rs` of the `geraniumpost` crate does. All else happens as soon as it can:
//! orders arrive at once, and each minion is polled every 0.4 s.

use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_batch::{
    CallerResponse, EndKind, FromAgent, JobId, JobState, Order, OrderKind, OrderKindTag,
    OrderOutcome, StepSpec, TaskId,
};
use geraniumpost_schema::Name;
use rand::Rng;
use rand::rngs::StdRng;

use crate::cluster::{Cluster, agent_name, minion_info};

/// Time by which the clock advances in each step, in milliseconds.
const STEP_MS: u64 = 100;
/// Interval between two polls of a minion, in milliseconds.
const POLL_INTERVAL_MS: u64 = 400;
/// Silence of a minion after which its agent requests no extension of the lease, in milliseconds.
const MINION_SILENCE_MS: u64 = 1_600;

#[derive(Debug, Clone)]
struct Machine {
    name: String,
    incarnation: u32,
    /// Time of the minion's crash, and the time at which it is back.
    down: Option<(u64, u64)>,
    /// Whether the minion is paused and not crashed while it is down.
    paused: bool,
    /// Whether the agent is lost with the minion.
    lost: bool,
    /// Crashed incarnations whose departure the coordinator has not recorded.
    departures: Vec<Name>,
}

impl Machine {
    fn minion(&self) -> String {
        format!("{}-{}", self.name, self.incarnation)
    }
}

pub struct CrashingFleet {
    pub cluster: Cluster,
    machines: Vec<Machine>,
    /// Tasks that crash their minions, with the time from the start to the crash in milliseconds.
    poisons: BTreeMap<TaskId, u64>,
    /// Time from a crash until the next incarnation responds, in milliseconds.
    pub down_ms: u64,
    /// Duration of the tasks of each job, in milliseconds; tasks of other jobs do not end.
    durations_ms: BTreeMap<JobId, u64>,
    /// Starts of each task, oldest first, on the monotonic clock.
    starts: BTreeMap<TaskId, Vec<u64>>,
    /// Crashes that each task has caused, oldest first, on the monotonic clock.
    crashes: BTreeMap<TaskId, Vec<u64>>,
    /// Crashes to come: the time, the incarnation and the task that causes it.
    due_crashes: Vec<(u64, Name, TaskId)>,
    /// Jobs without a task that crashes minions.
    healthy_jobs: BTreeSet<u64>,
    /// Whether a start of a task that crashes its minion at once gets no response.
    pub lost_responses: bool,
    /// Machines whose minions are sick: tasks that crash other minions fail there at once.
    pub sick_machines: BTreeSet<usize>,
}

impl CrashingFleet {
    pub fn new(machines: usize) -> Self {
        let mut fleet = Self {
            cluster: Cluster::new(),
            machines: Vec::new(),
            poisons: BTreeMap::new(),
            down_ms: 2_500,
            durations_ms: BTreeMap::new(),
            starts: BTreeMap::new(),
            crashes: BTreeMap::new(),
            due_crashes: Vec::new(),
            healthy_jobs: BTreeSet::new(),
            lost_responses: false,
            sick_machines: BTreeSet::new(),
        };
        for number in 1..=machines {
            let machine = Machine {
                name: format!("m{number}"),
                incarnation: 1,
                down: None,
                paused: false,
                lost: false,
                departures: Vec::new(),
            };
            fleet.cluster.join(&machine.minion(), |info| info);
            fleet.machines.push(machine);
        }
        fleet
    }

    /// Submits a job without a task that crashes minions. Its tasks take `duration_ms` each; with 0
    /// they do not end.
    pub fn submit(&mut self, job: u64, step: StepSpec, duration_ms: u64) {
        self.healthy_jobs.insert(job);
        self.submit_unchecked(job, step, duration_ms);
    }

    /// Submits a job of which one task crashes its minion `delay_ms` after its start. The members
    /// of a gang end only together, and so not at all.
    pub fn submit_poison(&mut self, task: TaskId, step: StepSpec, delay_ms: u64) {
        self.poisons.insert(task, delay_ms);
        let duration_ms = if step.gang { 0 } else { 1_000 };
        self.submit_unchecked(task.job.0, step, duration_ms);
    }

    /// Submits a job of which each of these tasks crashes its minion at once.
    pub fn submit_poisons(&mut self, tasks: &[TaskId], step: StepSpec) {
        self.poisons.extend(tasks.iter().map(|task| (*task, 0)));
        self.submit_poison(tasks[0], step, 0);
    }

    fn submit_unchecked(&mut self, job: u64, step: StepSpec, duration_ms: u64) {
        if duration_ms > 0 && !step.persistent {
            self.durations_ms.insert(JobId(job), duration_ms);
        }
        self.cluster.submit(job, vec![step]);
        self.deliver_orders();
    }

    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.cluster.advance(STEP_MS);
            self.crash_due_minions();
            self.return_due_minions();
            self.end_due_tasks();
            for at in 0..self.machines.len() {
                self.poll_or_report_silence(at);
            }
            self.deliver_orders();
            self.settle_departures();
        }
    }

    fn now_ms(&self) -> u64 {
        self.cluster.now.steady_ms
    }

    fn machine_of(&self, minion: &Name) -> usize {
        let owner = |machine: &Machine| agent_name(&machine.name) == agent_name(minion);
        self.machines.iter().position(owner).expect("the minion belongs to a machine")
    }

    fn deliver_orders(&mut self) {
        while !self.cluster.orders.is_empty() {
            for order in std::mem::take(&mut self.cluster.orders) {
                self.deliver(order);
            }
        }
    }

    fn deliver(&mut self, order: Order) {
        let machine = &self.machines[self.machine_of(&order.minion)];
        let tag = OrderKindTag::from(&order.kind);
        if machine.down.is_some() {
            return self.cluster.report_result(&order, tag, OrderOutcome::NoResponse);
        }
        if machine.minion() != *order.minion {
            return self.cluster.report_result(&order, tag, OrderOutcome::MinionTerminated);
        }
        let runs = self.cluster.running.get(&order.minion);
        let is_repeated = runs.is_some_and(|runs| runs.contains_key(&order.task));
        if !matches!(order.kind, OrderKind::Start { .. }) || is_repeated {
            return self.cluster.carry_out(order);
        }
        self.starts.entry(order.task).or_default().push(self.cluster.now.steady_ms);
        let Some(delay_ms) = self.poisons.get(&order.task).copied() else {
            return self.cluster.carry_out(order);
        };
        let (minion, task) = (order.minion.clone(), order.task);
        if self.sick_machines.contains(&self.machine_of(&minion)) {
            self.cluster.carry_out(order);
            return self.cluster.end_run(&minion, task, EndKind::Failed);
        }
        if delay_ms == 0 && self.lost_responses {
            self.cluster.report_result(&order, tag, OrderOutcome::NoResponse);
        } else {
            self.cluster.carry_out(order);
        }
        if delay_ms == 0 {
            self.record_crash(&minion, task);
        } else {
            self.due_crashes.push((self.now_ms() + delay_ms, minion, task));
        }
    }

    fn crash_due_minions(&mut self) {
        let now_ms = self.now_ms();
        let due: Vec<_> = self.due_crashes.extract_if(.., |(at_ms, ..)| *at_ms <= now_ms).collect();
        for (_, minion, task) in due {
            let runs = self.cluster.running.get(&minion);
            if runs.is_some_and(|runs| runs.contains_key(&task)) {
                self.record_crash(&minion, task);
            }
        }
    }

    fn record_crash(&mut self, minion: &Name, task: TaskId) {
        self.crashes.entry(task).or_default().push(self.cluster.now.steady_ms);
        self.crash(self.machine_of(minion));
    }

    /// Crashes the minion of a machine, unless it is down.
    pub fn crash(&mut self, at: usize) {
        let now_ms = self.now_ms();
        let machine = &mut self.machines[at];
        if machine.down.is_none() {
            machine.down = Some((now_ms, now_ms + self.down_ms));
            let minion = machine.minion();
            self.cluster.running.remove(&*minion);
        }
    }

    /// Pauses the minion of a machine for `ms`. Its runs end when their lease expires.
    pub fn pause(&mut self, at: usize, ms: u64) {
        self.machines[at].paused = true;
        self.machines[at].down = Some((self.now_ms(), self.now_ms() + ms));
        self.cluster.running.remove(&*self.machines[at].minion());
    }

    /// Pauses the minion of a machine for `ms`, unless it is down.
    pub fn pause_responsive(&mut self, at: usize, ms: u64) {
        if self.machines[at].down.is_none() {
            self.pause(at, ms);
        }
    }

    /// Loses a machine with its agent, whose link stays open.
    pub fn lose(&mut self, at: usize) {
        self.crash(at);
        self.machines[at].lost = true;
        self.cluster.stop_heartbeats(&self.machines[at].minion());
    }

    /// Returns the machine that runs a task.
    pub fn machine_with(&self, task: TaskId) -> usize {
        let running = self.cluster.running_tasks();
        let run = running.iter().find(|(running, ..)| *running == task);
        self.machine_of(&run.expect("the task runs").1)
    }

    /// Crashes each minion with this probability.
    pub fn crash_some(&mut self, rng: &mut StdRng, probability: f64) {
        for at in 0..self.machines.len() {
            if rng.random_bool(probability) {
                self.crash(at);
            }
        }
    }

    fn return_due_minions(&mut self) {
        let now_ms = self.now_ms();
        for at in 0..self.machines.len() {
            let machine = &mut self.machines[at];
            if machine.lost || machine.down.is_none_or(|(_, back_ms)| now_ms < back_ms) {
                continue;
            }
            machine.down = None;
            if std::mem::take(&mut machine.paused) {
                let minion = machine.minion();
                self.cluster.heartbeat(&minion);
                self.cluster.poll(&minion);
                continue;
            }
            let crashed = Name::from(machine.minion());
            machine.departures.push(crashed.clone());
            machine.incarnation += 1;
            let minion = machine.minion();
            self.cluster.send(&crashed, terminated(&crashed));
            self.cluster.send(&minion, FromAgent::Minion(minion_info(&minion)));
            self.cluster.heartbeat(&minion);
            self.cluster.poll(&minion);
        }
    }

    fn end_due_tasks(&mut self) {
        let now_ms = self.now_ms();
        for (task, minion, _) in self.cluster.running_tasks() {
            let started_ms = self.starts.get(&task).and_then(|starts| starts.last());
            let Some(duration_ms) = self.durations_ms.get(&task.job) else { continue };
            let is_poison = self.poisons.contains_key(&task);
            if !is_poison && started_ms.is_some_and(|at_ms| now_ms >= at_ms + duration_ms) {
                self.cluster.end_run(&minion, task, EndKind::Done);
            }
        }
    }

    fn poll_or_report_silence(&mut self, at: usize) {
        let now_ms = self.now_ms();
        let machine = &self.machines[at];
        let minion = machine.minion();
        match machine.down {
            _ if machine.lost => {}
            Some((since_ms, _)) if now_ms >= since_ms + MINION_SILENCE_MS => {
                self.cluster.heartbeat_with_unresponsive_minion(&minion);
            }
            None if now_ms.is_multiple_of(POLL_INTERVAL_MS) => self.cluster.poll(&minion),
            _ => {}
        }
    }

    fn settle_departures(&mut self) {
        for minion in std::mem::take(&mut self.cluster.settled_departures) {
            let at = self.machine_of(&minion);
            self.machines[at].departures.retain(|departure| *departure != minion);
        }
    }

    /// Replaces the coordinator by a successor, to which all agents link at once.
    pub fn take_over(&mut self) {
        self.settle_departures();
        self.cluster.take_over();
        for machine in self.machines.clone() {
            let minion = machine.minion();
            self.cluster.send(&minion, FromAgent::Hello { agent: agent_name(&minion) });
            for departure in &machine.departures {
                self.cluster.send(departure, terminated(departure));
            }
            self.cluster.send(&minion, FromAgent::Minion(minion_info(&minion)));
            if machine.down.is_none() {
                self.cluster.heartbeat(&minion);
                self.cluster.poll(&minion);
            }
        }
        self.deliver_orders();
    }

    /// Cuts the power of all machines for `off_ms`, during which nothing runs. New agent processes
    /// know of no earlier incarnation.
    pub fn lose_power(&mut self, off_ms: u64) {
        for machine in &mut self.machines {
            self.cluster.disconnect_agent(&machine.minion());
            self.cluster.running.remove(&*machine.minion());
            machine.incarnation += 1;
            machine.down = None;
            machine.departures.clear();
        }
        self.due_crashes.clear();
        self.cluster.orders.clear();
        self.cluster.advance(off_ms);
        self.cluster.orders.clear();
        for machine in self.machines.clone() {
            self.cluster.join(&machine.minion(), |info| info);
        }
        self.deliver_orders();
    }

    pub fn start_count(&self, task: TaskId) -> usize {
        self.starts.get(&task).map_or(0, Vec::len)
    }

    pub fn crash_count(&self, task: TaskId) -> usize {
        self.crashes.get(&task).map_or(0, Vec::len)
    }

    /// Returns how often a task was started after its third crash.
    pub fn starts_after_third_crash(&self, task: TaskId) -> usize {
        let Some(third_ms) = self.crashes.get(&task).and_then(|crashes| crashes.get(2)) else {
            return 0;
        };
        self.starts.get(&task).map_or(0, |starts| starts.iter().filter(|at| *at > third_ms).count())
    }

    pub fn healthy_job_count(&self) -> usize {
        self.healthy_jobs.len()
    }

    /// Returns the healthy jobs that are shown as failed.
    pub fn failed_healthy_jobs(&mut self) -> Vec<u64> {
        let jobs = self.healthy_jobs.clone().into_iter();
        jobs.filter(|job| self.cluster.job_state(*job) == FAILED).collect()
    }

    /// Returns the healthy jobs that are not shown as completed.
    pub fn incomplete_healthy_jobs(&mut self) -> Vec<u64> {
        let completed = CallerResponse::State(JobState::Completed);
        let jobs = self.healthy_jobs.clone().into_iter();
        jobs.filter(|job| self.cluster.job_state(*job) != completed).collect()
    }

    /// Checks that the job of each task that crashes minions has failed, after at most
    /// `max_crashes` crashes and two starts after the third one.
    pub fn check_poisons_failed(&mut self, max_crashes: usize) {
        for task in self.poisons.keys().copied().collect::<Vec<_>>() {
            let counts = format!(
                "{task}: {} starts, {} crashes, {} starts after the third",
                self.start_count(task),
                self.crash_count(task),
                self.starts_after_third_crash(task)
            );
            assert_eq!(self.cluster.job_state(task.job.0), FAILED, "{counts}");
            assert!(self.starts_after_third_crash(task) <= 2, "{counts}");
            assert!(self.crash_count(task) <= max_crashes, "{counts}");
        }
    }
}

pub const FAILED: CallerResponse = CallerResponse::State(JobState::Failed);

fn terminated(minion: &Name) -> FromAgent {
    FromAgent::MinionTerminated { minion: minion.clone(), crashed: true, replaced_by: None }
}
