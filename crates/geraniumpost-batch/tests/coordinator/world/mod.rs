//! A coordinator with a store that keeps what it is told, and minions that do what they are told.
//!
//! Nothing happens by itself but time ([`World::pass`]): a test says when minions join, look, and obey,
//! so that it can hold each of these back. A day on which machines do all that by themselves is played
//! on a [`Site`](crate::site::Site).

mod agents;
mod described;
mod effects;
mod orders;

pub use described::{agent, minion, standing, step, task, terms};

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use geraniumpost_batch::tuning::PROMISE_MS;
use geraniumpost_batch::{
    CallerRequest, CallerResponse, Coordinator, EndedTask, InterferenceSnapshot, JobId, JobRecord,
    JobSpec, JobState, Now, Order, PredecessorLeases, QueueTerms, StepSpec, TaskId, WriteBatch,
};
use geraniumpost_schema::Name;

/// How long leases hold in these tests, in milliseconds.
pub const HOLD_MS: u64 = 5_000;

/// Other entries that support the coordinator.
const SUPPORTERS: usize = 2;
/// Pause between two beats of an agent, in milliseconds.
const BEAT_MS: u64 = 500;
/// Where a coordinator was that fell silent.
pub const SILENT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// Where its successor is.
const SUCCESSOR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 2);

/// Everything around one coordinator.
pub struct World {
    pub coordinator: Coordinator,
    pub now: Now,
    pub store: BTreeMap<JobId, Vec<u8>>,
    /// What the last coordinator had learnt of images.
    pub knowledge: Option<Vec<u8>>,
    /// Writes that were asked for and not confirmed yet.
    pub writes: Vec<WriteBatch>,
    /// Whether writes are confirmed at once.
    pub writes_pass: bool,
    pub answers: BTreeMap<u64, CallerResponse>,
    /// Orders that no minion has taken yet.
    pub orders: Vec<Order>,
    /// Ends acknowledged to minions.
    pub acknowledged: BTreeMap<Name, u64>,
    /// Departures that agents were told to forget.
    pub settled: Vec<Name>,
    /// What runs: by minion, the task and its run.
    pub running: BTreeMap<Name, BTreeMap<TaskId, u32>>,
    pub notes: Vec<String>,
    /// Questions to the admission service: the step, and the minions named.
    pub questions: Vec<(TaskId, Vec<Name>)>,
    /// Progress that minions show of all tasks that `progress` does not name.
    pub percent: u8,
    pub progress: BTreeMap<TaskId, u8>,
    /// The share at which each task was told to work.
    pub paces: BTreeMap<TaskId, u8>,
    /// Leases that were extended: the agent, when it sent its beat, and for how long they hold.
    pub leases: Vec<(Name, u64, u64)>,
    /// Whether the store confirms the coordinator as time passes.
    pub store_confirms: bool,
    /// Whether a majority of entries supports the coordinator as time passes.
    pub entries_support: bool,
    /// Whether agents that have beaten go on doing so as time passes, until they are lost.
    pub beats_by_itself: bool,
    /// Minions whose agents do.
    beating: BTreeSet<String>,
    ends: BTreeMap<Name, Vec<EndedTask>>,
    gauges: BTreeMap<TaskId, u32>,
    results: u64,
    tickets: u64,
    fence: u64,
}

impl World {
    pub fn new() -> Self {
        let now = Now { steady_ms: 100_000, wall_ms: 1_000_000 };
        Self {
            coordinator: Coordinator::new(1, now).lease_ms(HOLD_MS),
            now,
            store: BTreeMap::new(),
            knowledge: None,
            writes: Vec::new(),
            writes_pass: true,
            answers: BTreeMap::new(),
            orders: Vec::new(),
            acknowledged: BTreeMap::new(),
            settled: Vec::new(),
            running: BTreeMap::new(),
            notes: Vec::new(),
            questions: Vec::new(),
            percent: 100,
            progress: BTreeMap::new(),
            paces: BTreeMap::new(),
            leases: Vec::new(),
            store_confirms: true,
            entries_support: true,
            beats_by_itself: true,
            beating: BTreeSet::new(),
            ends: BTreeMap::new(),
            gauges: BTreeMap::new(),
            results: 0,
            tickets: 0,
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
    pub fn at_work(minions: &[&str], step: StepSpec) -> Self {
        let mut world = Self::new().with_minions(minions);
        world.submit(1, vec![step]);
        world.obey();
        world
    }

    pub fn pass(&mut self, ms: u64) {
        let mut left = ms;
        while left > 0 {
            let step = left.min(100);
            self.now.steady_ms += step;
            self.now.wall_ms += step;
            left -= step;
            if self.beats_by_itself && self.now.steady_ms.is_multiple_of(BEAT_MS) {
                self.beating.clone().iter().for_each(|minion| self.beat(minion));
            }
            if self.store_confirms {
                self.coordinator.store_confirmed(self.now.steady_ms, self.now.steady_ms);
            }
            if self.entries_support {
                let until_ms = self.now.steady_ms + PROMISE_MS;
                self.coordinator.set_supported_until(until_ms, SUPPORTERS);
            }
            self.coordinator.tick(self.now);
            self.settle();
        }
    }

    pub fn ask(&mut self, ask: CallerRequest) -> u64 {
        self.tickets += 1;
        self.coordinator.handle_request(self.tickets, ask, self.now);
        self.settle();
        self.tickets
    }

    pub fn submit(&mut self, id: u64, steps: Vec<StepSpec>) -> u64 {
        self.submit_as(id, steps, terms())
    }

    pub fn submit_as(&mut self, id: u64, steps: Vec<StepSpec>, terms: QueueTerms) -> u64 {
        let spec = JobSpec { payload: "work".into(), steps, ..JobSpec::default() };
        self.ask(CallerRequest::Submit { job: JobId(id), spec, terms })
    }

    pub fn answer(&self, ticket: u64) -> Option<CallerResponse> {
        self.answers.get(&ticket).copied()
    }

    pub fn state(&mut self, id: u64) -> CallerResponse {
        let ticket = self.ask(CallerRequest::State(JobId(id)));
        self.answer(ticket).expect("states are told at once")
    }

    /// Answers a question to the admission service with the minions that it approves, or not at all.
    pub fn approve(&mut self, question: &(TaskId, Vec<Name>), good: Option<&[&str]>) {
        let ticket = |minion: &&str| (Name::from(*minion), Name::from("t-1"));
        let answer = good.map(|good| (good.iter().map(ticket).collect(), 3_000));
        self.coordinator.handle_approval(question.0, &question.1, answer, self.now);
        self.settle();
    }

    /// Returns where tasks run, in the order of their ids.
    pub fn places(&self) -> Vec<(TaskId, Name, u32)> {
        let mut places: Vec<_> = self
            .running
            .iter()
            .flat_map(|(minion, runs)| runs.iter().map(|(t, r)| (*t, minion.clone(), *r)))
            .collect();
        places.sort();
        places
    }

    /// Loses the coordinator, and lets another one take over from the store.
    pub fn take_over(&mut self) {
        self.take_over_with(&PredecessorLeases::default());
    }

    /// Lets another coordinator take over from one that may live on without the store.
    pub fn take_over_from_silent(&mut self) {
        let silent = PredecessorLeases::default().after_takeover(
            Some((SILENT, self.fence)),
            SUCCESSOR,
            HOLD_MS,
        );
        self.take_over_with(&silent);
    }

    /// Lets another coordinator take over with what its predecessor left behind.
    pub fn take_over_with(&mut self, inheritance: &PredecessorLeases) {
        self.fence += 1;
        let records = self.store.iter().map(|(id, bytes)| {
            (*id, JobRecord::decode(bytes).expect("the record was written by this version"))
        });
        self.coordinator = Coordinator::new(self.fence, self.now)
            .lease_ms(HOLD_MS)
            .with_predecessor_leases(inheritance, self.now)
            .with_interference(
                &self.knowledge.as_ref().map_or_else(InterferenceSnapshot::default, |bytes| {
                    InterferenceSnapshot::decode(bytes).expect("this version wrote it")
                }),
            )
            .with_records(records.collect(), self.now);
        self.orders.clear();
        self.writes.clear();
        self.beating.clear();
        self.settle();
    }
}

pub const COMPLETED: CallerResponse = CallerResponse::State(JobState::Completed);
