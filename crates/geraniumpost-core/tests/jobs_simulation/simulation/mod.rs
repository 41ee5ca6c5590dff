//! The simulated deployment, driven step by step in one thread.

mod agents;
mod entries;
mod message;

use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{Bucket, JobSpec, JobState, Now};
use geraniumpost_core::placement::amounts;
use geraniumpost_schema::{Name, Resources};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use message::Message;
pub use message::{FaultTrigger, ProtocolStep};

use crate::agent::{Agent, CAPACITY};
use crate::entry::Entry;
use crate::fault::Fault;
use crate::store::Store;

pub const STEP_MS: u64 = 20;
const STORE_TIMEOUT_MS: u64 = 600;

/// Two entries, three agents and a store; messages between them are delayed and sometimes lost.
pub struct Simulation {
    pub now: u64,
    pub store: Store,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    rng: StdRng,
    /// Messages in transit by time of arrival and number.
    messages: BTreeMap<(u64, u64), Message>,
    messages_sent: u64,
    store_down_until: u64,
    responses_lost_until: u64,
    /// End of each cut link, by entry and agent.
    link_cuts: BTreeMap<(usize, usize), u64>,
    eviction_requested: bool,
    /// Jobs to submit. Submissions are repeated until the job is in `accepted`.
    pub jobs: BTreeMap<Name, JobSpec>,
    pub accepted: BTreeSet<Name>,
    /// Jobs to cancel; a job that finishes first is removed.
    pub cancel_requests: BTreeSet<Name>,
    pub confirmed_cancellations: BTreeSet<Name>,
    /// Job of each request without a response, and whether the request is a cancellation.
    open_requests: BTreeMap<u64, (Name, bool)>,
    pub final_states: BTreeMap<Name, (JobState, String)>,
    /// Whether the network loses no messages and delays each by less than 10 ms.
    pub reliable_network: bool,
    /// Fault to inject when a message of the step is first sent.
    pub trigger: Option<FaultTrigger>,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        Self {
            now: 1,
            store: Store::default(),
            entries: (0..2).map(|index| Entry::new(index, 1)).collect(),
            agents: (0..3).map(Agent::new).collect(),
            rng: StdRng::seed_from_u64(seed),
            messages: BTreeMap::new(),
            messages_sent: 0,
            store_down_until: 0,
            responses_lost_until: 0,
            link_cuts: BTreeMap::new(),
            eviction_requested: false,
            jobs: BTreeMap::new(),
            accepted: BTreeSet::new(),
            cancel_requests: BTreeSet::new(),
            confirmed_cancellations: BTreeSet::new(),
            open_requests: BTreeMap::new(),
            final_states: BTreeMap::new(),
            reliable_network: false,
            trigger: None,
        }
    }

    pub fn add_jobs(&mut self, count: usize) {
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
            self.jobs.insert(id, spec);
        }
    }

    pub fn inject(&mut self, fault: &Fault) {
        let now = self.now;
        match *fault {
            Fault::StoreOutage(ms) => self.store_down_until = now + ms,
            Fault::ResponsesLost(ms) => self.responses_lost_until = now + ms,
            Fault::EntryKilled(index) => self.entries[index].kill(now),
            Fault::EntryPaused(index, ms) => self.entries[index].paused_until = now + ms,
            Fault::EntryCutFromStore(index, ms) => self.entries[index].store_cut_until = now + ms,
            Fault::AgentRestarted(index) => self.agents[index].restart(),
            Fault::AgentPaused(index, ms) => self.agents[index].paused_until = now + ms,
            Fault::LinkCut(entry, agent, ms) => {
                self.link_cuts.insert((entry, agent), now + ms);
            }
            Fault::VmLost(index) => self.agents[index].lose_vm(now),
            Fault::Evict => self.eviction_requested = true,
            Fault::Cancel(pick) => {
                let job = format!("job-{}", pick % self.jobs.len().max(1) as u64);
                self.cancel_requests.insert(job.into());
            }
        }
    }

    /// Ends the faults of the store and the network.
    pub fn clear_faults(&mut self) {
        self.store_down_until = 0;
        self.responses_lost_until = 0;
        self.link_cuts.clear();
        for entry in &mut self.entries {
            entry.store_cut_until = 0;
        }
    }

    /// Advances the time by `STEP_MS` and checks the invariants.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        while let Some((&key, _)) = self.messages.first_key_value()
            && key.0 <= self.now
        {
            let message = self.messages.remove(&key).expect("key of the first message");
            self.deliver(message);
            self.check_invariants();
        }
        for entry in 0..self.entries.len() {
            self.step_entry(entry);
        }
        for agent in 0..self.agents.len() {
            self.step_agent(agent);
        }
        self.check_invariants();
    }

    fn clocks(&mut self) -> Now {
        Now::new(Millis(self.now), self.now + 1_000_000, self.rng.random())
    }

    fn send(&mut self, delay: u64, message: Message) {
        if let Some((step, fault)) = self.trigger
            && let Some((entry, agent)) = message.participants_at(step)
        {
            self.trigger = None;
            let planner = self.entries.iter().position(|entry| entry.planner.is_some());
            self.inject(&fault(entry.or(planner).unwrap_or(0), agent.unwrap_or(0)));
        }
        self.messages_sent += 1;
        self.messages.insert((self.now + delay, self.messages_sent), message);
    }

    fn random_delay_ms(&mut self) -> u64 {
        if self.reliable_network || self.rng.random_ratio(9, 10) {
            self.rng.random_range(1..10)
        } else {
            self.rng.random_range(1..500)
        }
    }

    fn is_message_lost(&mut self) -> bool {
        !self.reliable_network && self.rng.random_ratio(1, 50)
    }

    fn is_link_cut(&self, entry: usize, agent: usize) -> bool {
        self.link_cuts.get(&(entry, agent)).is_some_and(|until| self.now < *until)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::StoreCall { entry, incarnation, caller, call } => {
                self.handle_store_call(entry, incarnation, caller, call);
            }
            Message::StoreResponse { entry, incarnation, caller, response } => {
                self.handle_store_response(entry, incarnation, caller, response);
            }
            Message::WorkerCall { agent, incarnation, sent_at, call } => {
                self.handle_worker_call(agent, incarnation, sent_at, call);
            }
            Message::ToAgent { agent, incarnation, event } => {
                if self.agents[agent].incarnation == incarnation {
                    self.handle_agent_event(agent, event);
                }
            }
            Message::ToEntry { entry, incarnation, ref event } => {
                if self.entries[entry].incarnation == incarnation {
                    if self.entries[entry].is_up(self.now) {
                        self.handle_planner_event(entry, event.clone());
                    } else {
                        self.send(STEP_MS, message);
                    }
                }
            }
            Message::Heartbeat { entry, agent, heartbeat } => {
                self.on_heartbeat(entry, agent, heartbeat);
            }
        }
    }

    /// Records the final states in new store writes, and checks that a final state never changes.
    fn record_final_states(&mut self) {
        for (key, value) in std::mem::take(&mut self.store.written) {
            if !key.starts_with("jobs/") {
                continue;
            }
            let bucket = Bucket::decode(&value).expect("a valid bucket");
            for record in bucket.records().filter(|record| record.state().is_final()) {
                let new = (record.state(), record.result().to_owned());
                let old =
                    self.final_states.entry(record.id().clone()).or_insert_with(|| new.clone());
                assert_eq!(*old, new, "{} finished twice at {}", record.id(), self.now);
            }
        }
    }

    /// Checks that no VM is overcommitted and that no job has two running tasks.
    fn check_invariants(&mut self) {
        let mut seen = BTreeSet::new();
        let now = self.now;
        for agent in &mut self.agents {
            agent.worker.advance(now);
            let load = agent.worker.allocated();
            assert!(amounts::fits(&load, &CAPACITY), "{} runs {load:?}", agent.name);
            for task in agent.worker.running() {
                let first = seen.insert(task.job.clone());
                assert!(first, "{} runs in two places at {now}", task.job);
            }
        }
    }

    pub fn all_jobs_finished(&self) -> bool {
        self.jobs.keys().all(|job| self.final_states.contains_key(job))
    }
}
