//! A coordinator with a store that keeps what it is told, and minions that do what they are told.
//!
//! Nothing happens by itself but time ([`World::pass`]): a test says when minions join, look, and obey,
//! so that it can hold each of these back. A day on which machines do all that by themselves is played
//! on a [`Site`](crate::site::Site).

mod agents;
mod effects;
mod fixtures;
mod orders;

pub use fixtures::{agent_name, minion_info, persistent_step, step, task, terms};

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use geraniumpost_batch::tuning::PROMISE_MS;
use geraniumpost_batch::{
    Answer, Ask, Coordinator, EndedTask, Inheritance, JobId, JobRecord, JobSpec, JobState,
    Knowledge, Now, Order, QueueTerms, StepSpec, TaskId, WriteBatch,
};
use geraniumpost_schema::Name;

/// How long leases hold in these tests, in milliseconds.
pub const LEASE_MS: u64 = 5_000;

/// Other entries that support the coordinator.
const SUPPORTERS: usize = 2;
/// Pause between two beats of an agent, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Where a coordinator was that fell silent.
pub const SILENT_COORDINATOR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// Where its successor is.
const SUCCESSOR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 2);

/// Everything around one coordinator.
pub struct Cluster {
    pub coordinator: Coordinator,
    pub now: Now,
    pub store: BTreeMap<JobId, Vec<u8>>,
    /// What the last coordinator had learnt of images.
    pub stored_interference: Option<Vec<u8>>,
    /// Writes that were asked for and not confirmed yet.
    pub pending_writes: Vec<WriteBatch>,
    /// Whether writes are confirmed at once.
    pub confirm_writes: bool,
    pub responses: BTreeMap<u64, Answer>,
    /// Orders that no minion has taken yet.
    pub orders: Vec<Order>,
    /// Ends acknowledged to minions.
    pub acknowledged: BTreeMap<Name, u64>,
    /// Departures that agents were told to forget.
    pub settled_departures: Vec<Name>,
    /// What runs: by minion, the task and its run.
    pub running: BTreeMap<Name, BTreeMap<TaskId, u32>>,
    pub log_lines: Vec<String>,
    /// Questions to the admission service: the step, and the minions named.
    pub approval_requests: Vec<(TaskId, Vec<Name>)>,
    /// Progress that minions show of all tasks that `progress` does not name.
    pub default_percent: u8,
    pub task_percent: BTreeMap<TaskId, u8>,
    /// The share at which each task was told to work.
    pub paces: BTreeMap<TaskId, u8>,
    /// Leases that were extended: the agent, when it sent its beat, and for how long they hold.
    pub lease_extensions: Vec<(Name, u64, u64)>,
    /// Whether the store confirms the coordinator as time passes.
    pub store_confirms: bool,
    /// Whether a majority of entries supports the coordinator as time passes.
    pub entries_support: bool,
    /// Whether agents that have beaten go on doing so as time passes, until they are lost.
    pub automatic_heartbeats: bool,
    /// Minions whose agents do.
    heartbeating_minions: BTreeSet<String>,
    ended_tasks: BTreeMap<Name, Vec<EndedTask>>,
    gauges: BTreeMap<TaskId, u32>,
    last_result_number: u64,
    last_ticket: u64,
    fence: u64,
}

impl Cluster {
    pub fn new() -> Self {
        let now = Now { steady_ms: 100_000, wall_ms: 1_000_000 };
        Self {
            coordinator: Coordinator::new(1, now).hold_ms(LEASE_MS),
            now,
            store: BTreeMap::new(),
            stored_interference: None,
            pending_writes: Vec::new(),
            confirm_writes: true,
            responses: BTreeMap::new(),
            orders: Vec::new(),
            acknowledged: BTreeMap::new(),
            settled_departures: Vec::new(),
            running: BTreeMap::new(),
            log_lines: Vec::new(),
            approval_requests: Vec::new(),
            default_percent: 100,
            task_percent: BTreeMap::new(),
            paces: BTreeMap::new(),
            lease_extensions: Vec::new(),
            store_confirms: true,
            entries_support: true,
            automatic_heartbeats: true,
            heartbeating_minions: BTreeSet::new(),
            ended_tasks: BTreeMap::new(),
            gauges: BTreeMap::new(),
            last_result_number: 0,
            last_ticket: 0,
            fence: 1,
        }
    }

    /// Adds minions of 16 processors and 64 GB, linked and looked at.
    pub fn with_minions(mut self, names: &[&str]) -> Self {
        for name in names {
            self.join(name, |info| info);
        }
        self
    }

    /// Returns a world with minions on which a job's only step is at work, if there is room for it.
    pub fn with_running_job(minions: &[&str], step: StepSpec) -> Self {
        let mut cluster = Self::new().with_minions(minions);
        cluster.submit(1, vec![step]);
        cluster.carry_out_orders();
        cluster
    }

    pub fn advance(&mut self, ms: u64) {
        let mut remaining_ms = ms;
        while remaining_ms > 0 {
            let step = remaining_ms.min(100);
            self.now.steady_ms += step;
            self.now.wall_ms += step;
            remaining_ms -= step;
            if self.automatic_heartbeats && self.now.steady_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS)
            {
                self.heartbeating_minions.clone().iter().for_each(|minion| self.heartbeat(minion));
            }
            if self.store_confirms {
                self.coordinator.store_confirmed(self.now.steady_ms, self.now.steady_ms);
            }
            if self.entries_support {
                let until_ms = self.now.steady_ms + PROMISE_MS;
                self.coordinator.supported_until(until_ms, SUPPORTERS);
            }
            self.coordinator.tick(self.now);
            self.process_effects();
        }
    }

    pub fn request(&mut self, ask: Ask) -> u64 {
        self.last_ticket += 1;
        self.coordinator.ask(self.last_ticket, ask, self.now);
        self.process_effects();
        self.last_ticket
    }

    pub fn submit(&mut self, id: u64, steps: Vec<StepSpec>) -> u64 {
        self.submit_with_terms(id, steps, terms())
    }

    pub fn submit_with_terms(&mut self, id: u64, steps: Vec<StepSpec>, terms: QueueTerms) -> u64 {
        let spec = JobSpec { payload: "work".into(), steps, ..JobSpec::default() };
        self.request(Ask::Submit { job: JobId(id), spec, terms })
    }

    pub fn response(&self, ticket: u64) -> Option<Answer> {
        self.responses.get(&ticket).copied()
    }

    pub fn job_state(&mut self, id: u64) -> Answer {
        let ticket = self.request(Ask::State(JobId(id)));
        self.response(ticket).expect("job states are answered immediately")
    }

    /// Answers a question to the admission service with the minions that it approves, or not at all.
    pub fn answer_approval(&mut self, request: &(TaskId, Vec<Name>), good: Option<&[&str]>) {
        let ticket = |minion: &&str| (Name::from(*minion), Name::from("t-1"));
        let answer = good.map(|good| (good.iter().map(ticket).collect(), 3_000));
        self.coordinator.approved(request.0, &request.1, answer, self.now);
        self.process_effects();
    }

    /// Returns where tasks run, in the order of their ids.
    pub fn running_tasks(&self) -> Vec<(TaskId, Name, u32)> {
        let mut tasks: Vec<_> = self
            .running
            .iter()
            .flat_map(|(minion, runs)| runs.iter().map(|(t, r)| (*t, minion.clone(), *r)))
            .collect();
        tasks.sort();
        tasks
    }

    /// Loses the coordinator, and lets another one take over from the store.
    pub fn take_over(&mut self) {
        self.take_over_with(&Inheritance::default());
    }

    /// Lets another coordinator take over from one that may live on without the store.
    pub fn take_over_from_silent(&mut self) {
        let silent = Inheritance::default().taken_over(
            Some((SILENT_COORDINATOR, self.fence)),
            SUCCESSOR,
            LEASE_MS,
        );
        self.take_over_with(&silent);
    }

    /// Lets another coordinator take over with what its predecessor left behind.
    pub fn take_over_with(&mut self, inheritance: &Inheritance) {
        self.fence += 1;
        let records = self.store.iter().map(|(id, bytes)| {
            (*id, JobRecord::decode(bytes).expect("the record was written by this version"))
        });
        self.coordinator = Coordinator::new(self.fence, self.now)
            .hold_ms(LEASE_MS)
            .inheriting(inheritance, self.now)
            .with_knowledge(
                &self.stored_interference.as_ref().map_or_else(Knowledge::default, |bytes| {
                    Knowledge::decode(bytes).expect("the stored snapshot is valid")
                }),
            )
            .with_records(records.collect(), self.now);
        self.orders.clear();
        self.pending_writes.clear();
        self.heartbeating_minions.clear();
        self.process_effects();
    }
}

pub const COMPLETED: Answer = Answer::State(JobState::Completed);
