//! Two entries, three agents and a store in one thread.

mod agents;
mod entries;
mod flight;

use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{Bucket, JobSpec, JobState, Now};
use geraniumpost_core::placement::amounts;
use geraniumpost_schema::{Name, Resources};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use flight::Flight;
pub use flight::{Point, Trap};

use crate::agent::{Agent, CAPACITY};
use crate::entry::Entry;
use crate::fault::Fault;
use crate::store::Store;

pub const STEP_MS: u64 = 20;
const TIMEOUT_MS: u64 = 600;

/// Two entries, three agents and a store, with everything between them delayed and sometimes lost.
pub struct World {
    pub now: u64,
    pub store: Store,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    rng: StdRng,
    flights: BTreeMap<(u64, u64), Flight>,
    sent: u64,
    store_down_until: u64,
    replies_lost_until: u64,
    cuts: BTreeMap<(usize, usize), u64>,
    evict_wanted: bool,
    /// Jobs to submit, until an answer says that they are recorded.
    pub wanted: BTreeMap<Name, JobSpec>,
    pub accepted: BTreeSet<Name>,
    pub cancels: BTreeSet<Name>,
    pub cancelled: BTreeSet<Name>,
    replies: BTreeMap<u64, (Name, bool)>,
    pub finals: BTreeMap<Name, (JobState, String)>,
    /// Swaps the real network for a perfect one.
    pub calm: bool,
    /// Strikes when the step is first seen.
    pub trap: Option<Trap>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self {
            now: 1,
            store: Store::default(),
            entries: (0..2).map(|at| Entry::new(at, 1)).collect(),
            agents: (0..3).map(Agent::new).collect(),
            rng: StdRng::seed_from_u64(seed),
            flights: BTreeMap::new(),
            sent: 0,
            store_down_until: 0,
            replies_lost_until: 0,
            cuts: BTreeMap::new(),
            evict_wanted: false,
            wanted: BTreeMap::new(),
            accepted: BTreeSet::new(),
            cancels: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            replies: BTreeMap::new(),
            finals: BTreeMap::new(),
            calm: false,
            trap: None,
        }
    }

    pub fn want(&mut self, count: usize) {
        for number in 0..count {
            let id = Name::from(format!("job-{number}"));
            let need = Resources { milli_cpus: 1_500, memory_mb: 1_000, accelerators: 0 };
            let spec = JobSpec {
                id: id.clone(),
                customer: "entel".into(),
                class: "study".into(),
                need,
                command: String::new(),
            };
            self.wanted.insert(id, spec);
        }
    }

    pub fn break_with(&mut self, fault: &Fault) {
        let now = self.now;
        match *fault {
            Fault::StoreOutage(ms) => self.store_down_until = now + ms,
            Fault::RepliesLost(ms) => self.replies_lost_until = now + ms,
            Fault::EntryKilled(at) => self.entries[at].kill(now),
            Fault::EntryFrozen(at, ms) => self.entries[at].frozen_until = now + ms,
            Fault::EntryCut(at, ms) => self.entries[at].cut_until = now + ms,
            Fault::AgentRestarted(at) => self.agents[at].restart(),
            Fault::AgentFrozen(at, ms) => self.agents[at].frozen_until = now + ms,
            Fault::LinkCut(entry, agent, ms) => {
                self.cuts.insert((entry, agent), now + ms);
            }
            Fault::VmLost(at) => self.agents[at].lose_vm(now),
            Fault::Evict => self.evict_wanted = true,
            Fault::Cancel(pick) => {
                let job = format!("job-{}", pick % self.wanted.len().max(1) as u64);
                self.cancels.insert(job.into());
            }
        }
    }

    pub fn heal(&mut self) {
        self.store_down_until = 0;
        self.replies_lost_until = 0;
        self.cuts.clear();
        for entry in &mut self.entries {
            entry.cut_until = 0;
        }
    }

    /// Goes one step on and checks what must always hold.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        while let Some((&key, _)) = self.flights.first_key_value()
            && key.0 <= self.now
        {
            let flight = self.flights.remove(&key).expect("just seen");
            self.arrive(flight);
            self.check();
        }
        for entry in 0..self.entries.len() {
            self.run_entry(entry);
        }
        for agent in 0..self.agents.len() {
            self.run_agent(agent);
        }
        self.check();
    }

    fn moment(&mut self) -> Now {
        Now::new(Millis(self.now), self.now + 1_000_000, self.rng.random())
    }

    fn fly(&mut self, delay: u64, flight: Flight) {
        if let Some((point, fault)) = self.trap
            && let Some((entry, agent)) = flight.is_at(point)
        {
            self.trap = None;
            let planning = self.entries.iter().position(|one| one.planner.is_some());
            self.break_with(&fault(entry.or(planning).unwrap_or(0), agent.unwrap_or(0)));
        }
        self.sent += 1;
        self.flights.insert((self.now + delay, self.sent), flight);
    }

    fn delay(&mut self) -> u64 {
        if self.calm || self.rng.random_ratio(9, 10) {
            self.rng.random_range(1..10)
        } else {
            self.rng.random_range(1..500)
        }
    }

    fn is_lost(&mut self) -> bool {
        !self.calm && self.rng.random_ratio(1, 50)
    }

    fn is_cut(&self, entry: usize, agent: usize) -> bool {
        self.cuts.get(&(entry, agent)).is_some_and(|until| self.now < *until)
    }

    fn arrive(&mut self, flight: Flight) {
        match flight {
            Flight::StoreCall { entry, incarnation, to, call } => {
                self.run_store(entry, incarnation, to, call);
            }
            Flight::StoreAnswer { entry, incarnation, to, answer } => {
                self.answer(entry, incarnation, to, answer);
            }
            Flight::WorkerCall { agent, incarnation, asked, call } => {
                self.run_worker(agent, incarnation, asked, call);
            }
            Flight::ToAgent { agent, incarnation, event } => {
                if self.agents[agent].incarnation == incarnation {
                    self.tell_agent(agent, event);
                }
            }
            Flight::ToEntry { entry, incarnation, ref event } => {
                if self.entries[entry].incarnation == incarnation {
                    if self.entries[entry].is_up(self.now) {
                        self.plan(entry, event.clone());
                    } else {
                        self.fly(STEP_MS, flight);
                    }
                }
            }
            Flight::Beat { entry, agent, beat } => self.on_beat(entry, agent, beat),
        }
    }

    /// Reads what was written, and checks that what is final stays as it is.
    fn note_finals(&mut self) {
        for (key, value) in std::mem::take(&mut self.store.written) {
            if !key.starts_with("jobs/") {
                continue;
            }
            let bucket = Bucket::decode(&value).expect("a bucket");
            for record in bucket.records().filter(|record| record.state().is_final()) {
                let new = (record.state(), record.result().to_owned());
                let old = self.finals.entry(record.id().clone()).or_insert_with(|| new.clone());
                assert_eq!(*old, new, "{} ended twice at {}", record.id(), self.now);
            }
        }
    }

    fn check(&mut self) {
        let mut seen = BTreeSet::new();
        let now = self.now;
        for agent in &mut self.agents {
            agent.worker.advance(now);
            let load = agent.worker.load();
            assert!(amounts::fits(&load, &CAPACITY), "{} holds {load:?}", agent.name);
            for task in agent.worker.running() {
                let first = seen.insert(task.job.clone());
                assert!(first, "{} runs in two places at {now}", task.job);
            }
        }
    }

    pub fn is_over(&self) -> bool {
        self.wanted.keys().all(|job| self.finals.contains_key(job))
    }
}
