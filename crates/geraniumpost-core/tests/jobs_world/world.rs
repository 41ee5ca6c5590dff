use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{
    Bucket, JobAnswer, JobSpec, JobState, LeaseAction, LeaseEvent, LedgerAction, LedgerEvent,
    Moment, PlannerAction, PlannerEvent, alive_key, bucket_key, term_key,
};
use geraniumpost_core::placement::{Decision, Reason, amounts};
use geraniumpost_schema::{HeartbeatAck, Name, Resources, TaskState, ToAgent};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::agent::{Agent, CAPACITY};
use crate::entry::{Entry, holder};
use crate::fault::Fault;
use crate::store::{Answer, Call, Store};

pub const STEP_MS: u64 = 20;
const TIMEOUT_MS: u64 = 600;

/// Something under way that arrives later.
enum Flight {
    StoreCall { entry: usize, incarnation: u64, to: Caller, call: Call },
    StoreAnswer { entry: usize, incarnation: u64, to: Caller, answer: Answer },
    WorkerCall { agent: usize, incarnation: u64, asked: u64, call: LedgerAction },
    ToAgent { agent: usize, incarnation: u64, event: LedgerEvent },
    ToEntry { entry: usize, incarnation: u64, event: PlannerEvent },
    Beat { entry: usize, agent: usize, beat: Box<geraniumpost_schema::Heartbeat> },
}

impl Flight {
    /// Returns the entry and agent concerned, as far as known, if this is that step.
    fn is_at(&self, point: Point) -> Option<(Option<usize>, Option<usize>)> {
        match self {
            Self::StoreCall { entry, call: Call::Put { key, value, .. }, .. } => {
                let state = match point {
                    Point::SubmitCommit => "\"state\":\"p\"",
                    Point::AssignCommit => "\"state\":\"a\"",
                    Point::CancelCommit => "\"state\":\"w\"",
                    Point::DoneCommit => "\"state\":\"d\"",
                    _ => return None,
                };
                let found = String::from_utf8_lossy(value).contains(state);
                (key.starts_with("jobs/") && found).then_some((Some(*entry), None))
            }
            Self::ToAgent { agent, event, .. } => {
                let found = match event {
                    LedgerEvent::Start(_) => point == Point::StartOrder,
                    LedgerEvent::Evict(_) => point == Point::EvictOrder,
                    LedgerEvent::Stop(_) => point == Point::StopOrder,
                    LedgerEvent::Settled(_) => point == Point::SettledOrder,
                    LedgerEvent::Supersede(_) => point == Point::Supersede,
                    _ => false,
                };
                found.then_some((None, Some(*agent)))
            }
            Self::WorkerCall { agent, call, .. } => {
                let found = match call {
                    LedgerAction::Start(_) => point == Point::StartCall,
                    LedgerAction::Checkpoint { .. } => point == Point::CheckpointCall,
                    _ => false,
                };
                found.then_some((None, Some(*agent)))
            }
            Self::ToEntry { entry, event: PlannerEvent::Report { agent, report }, .. } => {
                let found = match report.state {
                    TaskState::Running => point == Point::RunningReport,
                    TaskState::Evicted => point == Point::EvictedReport,
                    TaskState::Done => point == Point::DoneReport,
                    _ => false,
                };
                let agent = agent.rsplit('-').next().and_then(|at| at.parse().ok());
                found.then_some((Some(*entry), agent))
            }
            _ => None,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Caller {
    Lease,
    Commit(usize),
    Read(usize),
}

/// A step of the protocol, known by what is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Point {
    SubmitCommit,
    AssignCommit,
    StartOrder,
    StartCall,
    RunningReport,
    EvictOrder,
    CheckpointCall,
    EvictedReport,
    CancelCommit,
    StopOrder,
    DoneReport,
    DoneCommit,
    SettledOrder,
    Supersede,
}

/// A step, and the fault that strikes the entry and agent concerned.
pub type Trap = (Point, fn(usize, usize) -> Fault);

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

    fn moment(&mut self) -> Moment {
        Moment::new(Millis(self.now), self.now + 1_000_000, self.rng.random())
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

    fn run_entry(&mut self, at: usize) {
        if !self.entries[at].is_up(self.now) {
            return;
        }
        let actions = self.entries[at].lease(LeaseEvent::Tick, self.now);
        self.do_lease(at, actions);
        if self.entries[at].planner.is_none() {
            return;
        }
        self.update_links(at);
        self.prove_others(at);
        self.ask(at);
        self.plan(at, PlannerEvent::Tick);
        if self.now >= self.entries[at].last_place + 200 {
            self.entries[at].last_place = self.now;
            self.place(at);
        }
    }

    fn update_links(&mut self, at: usize) {
        for agent in 0..self.agents.len() {
            let up = self.now >= self.agents[agent].down_until && !self.is_cut(at, agent);
            let incarnation = up.then_some(self.agents[agent].incarnation);
            let old = self.entries[at].links[agent];
            if incarnation == old {
                continue;
            }
            self.entries[at].links[agent] = incarnation;
            let name = self.agents[agent].name.clone();
            if let Some(incarnation) = old {
                self.plan(at, PlannerEvent::LinkDown { agent: name.clone(), incarnation });
            }
            if let Some(incarnation) = incarnation {
                self.plan(at, PlannerEvent::LinkUp { agent: name, incarnation });
            }
        }
    }

    /// The other entry's beats prove that it does not plan, or that it restarted.
    fn prove_others(&mut self, at: usize) {
        let other = &self.entries[1 - at];
        if !other.is_up(self.now) {
            return;
        }
        let current = other.incarnation;
        let follows = !other.standing(self.now).may_hold();
        for incarnation in 1..=current {
            if incarnation < current || follows {
                self.plan(at, PlannerEvent::HolderGone(holder(1 - at, incarnation)));
            }
        }
    }

    /// Submitters and cancellers come back until they are told that it is recorded.
    fn ask(&mut self, at: usize) {
        if self.now % 400 >= STEP_MS {
            return;
        }
        let open: Vec<JobSpec> =
            self.wanted.values().filter(|s| !self.accepted.contains(&s.id)).cloned().collect();
        for spec in open {
            let reply = self.rng.random();
            self.replies.insert(reply, (spec.id.clone(), false));
            self.plan(at, PlannerEvent::Submit { spec, reply });
        }
        for job in self.cancels.difference(&self.cancelled).cloned().collect::<Vec<_>>() {
            if !self.accepted.contains(&job) {
                continue;
            }
            let reply = self.rng.random();
            self.replies.insert(reply, (job.clone(), true));
            self.plan(at, PlannerEvent::Cancel { job, customer: Name::default(), reply });
        }
    }

    fn place(&mut self, at: usize) {
        let moment = self.moment();
        let evict = std::mem::take(&mut self.evict_wanted);
        let pick = self.rng.random::<u64>() as usize;
        let mut rng = StdRng::seed_from_u64(moment.random);
        let entry = &mut self.entries[at];
        let standing = entry.standing(moment.clock.0);
        let Some(planner) = &mut entry.planner else { return };
        let running: Vec<Name> = planner
            .records()
            .filter(|record| record.state() == JobState::Assigned)
            .map(|record| record.id().clone())
            .collect();
        let placer = &mut entry.placer;
        let actions = planner.place(standing, moment, |now, wishes, fleet| {
            let mut decisions = placer.place(now, wishes, fleet, &mut rng);
            if evict && !running.is_empty() {
                decisions.push(Decision::Evict {
                    job: running[pick % running.len()].clone(),
                    worker: Name::default(),
                    for_job: Name::default(),
                    why: Reason::Settling,
                });
            }
            decisions
        });
        self.do_planner(at, actions);
    }

    fn plan(&mut self, at: usize, event: PlannerEvent) {
        let moment = self.moment();
        let actions = self.entries[at].plan_event(event, moment);
        self.do_planner(at, actions);
    }

    fn do_planner(&mut self, at: usize, actions: Vec<PlannerAction>) {
        let region = Name::from("lima");
        for action in actions {
            match action {
                PlannerAction::Commit { bucket, expected, value } => {
                    let key = bucket_key(&region, bucket);
                    let call = Call::Put { key, value, expected, lease: None };
                    self.call_store(at, Caller::Commit(bucket), call);
                }
                PlannerAction::Read { bucket } => {
                    let call = Call::Get(bucket_key(&region, bucket));
                    self.call_store(at, Caller::Read(bucket), call);
                }
                PlannerAction::Send { agent, frame } => self.send(at, &agent, frame),
                PlannerAction::Reply { reply, answer } => self.on_reply(reply, &answer),
                PlannerAction::EarlierSettled => {
                    let actions = self.entries[at].lease(LeaseEvent::EarlierSettled, self.now);
                    self.do_lease(at, actions);
                }
                PlannerAction::StepDown(_) => {
                    let actions = self.entries[at].lease(LeaseEvent::StepDown, self.now);
                    self.do_lease(at, actions);
                }
                PlannerAction::Observe(_) => {}
            }
        }
    }

    fn on_reply(&mut self, reply: u64, answer: &JobAnswer) {
        let Some((job, cancel)) = self.replies.remove(&reply) else { return };
        if answer.is_ok() && cancel {
            self.cancelled.insert(job);
        } else if answer.is_ok() {
            self.accepted.insert(job);
        } else if cancel && answer.state.is_some() {
            self.cancels.remove(&job);
        }
    }

    fn do_lease(&mut self, at: usize, actions: Vec<LeaseAction>) {
        let region = Name::from("lima");
        for action in actions {
            let call = match action {
                LeaseAction::ReadAlive => Call::Get(alive_key(&region)),
                LeaseAction::ReadTerm => Call::Get(term_key(&region)),
                LeaseAction::Grant { ttl_ms } => Call::Grant(ttl_ms),
                LeaseAction::KeepAlive { lease } => Call::KeepAlive(lease),
                LeaseAction::Revoke { lease } => Call::Revoke(lease),
                LeaseAction::Claim { lease, value } => {
                    let key = alive_key(&region);
                    Call::Put { key, value, expected: None, lease: Some(lease) }
                }
                LeaseAction::WriteTerm { expected, record } => {
                    let value = serde_json::to_vec(&record).expect("plain data");
                    Call::Put { key: term_key(&region), value, expected, lease: None }
                }
                LeaseAction::Became(_) | LeaseAction::Lost(_) => continue,
            };
            self.call_store(at, Caller::Lease, call);
        }
    }

    fn call_store(&mut self, entry: usize, to: Caller, call: Call) {
        let incarnation = self.entries[entry].incarnation;
        let delay = self.delay();
        self.fly(delay, Flight::StoreCall { entry, incarnation, to, call });
    }

    fn send(&mut self, entry: usize, agent: &Name, frame: ToAgent) {
        let at = self.agents.iter().position(|one| one.name == *agent);
        let Some((at, incarnation)) = at.and_then(|at| Some((at, self.entries[entry].links[at]?)))
        else {
            return;
        };
        let event = match frame {
            ToAgent::Start(order) => LedgerEvent::Start(order),
            ToAgent::Evict(order) => LedgerEvent::Evict(order),
            ToAgent::Stop(order) => LedgerEvent::Stop(order),
            ToAgent::Settled(order) => LedgerEvent::Settled(order),
            ToAgent::Throttle(order) => LedgerEvent::Throttle(order),
            ToAgent::Supersede(term) => LedgerEvent::Supersede(term),
            _ => return,
        };
        if !self.is_lost() && !self.is_cut(entry, at) {
            let delay = self.delay();
            self.fly(delay, Flight::ToAgent { agent: at, incarnation, event });
        }
    }

    fn run_agent(&mut self, at: usize) {
        let now = self.now;
        if !self.agents[at].is_up(now) {
            return;
        }
        for event in std::mem::take(&mut self.agents[at].inbox) {
            self.tell_agent(at, event);
        }
        if now % 200 < STEP_MS {
            let sequence = self.agents[at].sequence + 1;
            self.tell_agent(at, LedgerEvent::HeartbeatSent(sequence));
            let beat = self.agents[at].heartbeat();
            for entry in 0..self.entries.len() {
                if !self.is_lost() && !self.is_cut(entry, at) {
                    let (delay, beat) = (self.delay(), Box::new(beat.clone()));
                    self.fly(delay, Flight::Beat { entry, agent: at, beat });
                }
            }
        }
        self.tell_agent(at, LedgerEvent::Tick);
    }

    fn tell_agent(&mut self, at: usize, event: LedgerEvent) {
        let now = self.now;
        if !self.agents[at].is_up(now) {
            self.agents[at].inbox.push(event);
            return;
        }
        let incarnation = self.agents[at].incarnation;
        for action in self.agents[at].handle(event, now) {
            let name = self.agents[at].name.clone();
            match action {
                LedgerAction::Report(report) => {
                    self.tell_entries(at, &PlannerEvent::Report { agent: name, report });
                }
                LedgerAction::Inventory(inventory) => {
                    self.tell_entries(at, &PlannerEvent::Inventory { agent: name, inventory });
                }
                call => {
                    let delay = self.delay().min(100);
                    let flight = Flight::WorkerCall { agent: at, incarnation, asked: now, call };
                    self.fly(delay, flight);
                }
            }
        }
    }

    fn tell_entries(&mut self, agent: usize, event: &PlannerEvent) {
        for entry in 0..self.entries.len() {
            let linked = self.entries[entry].links[agent] == Some(self.agents[agent].incarnation);
            if linked && !self.is_lost() && !self.is_cut(entry, agent) {
                let incarnation = self.entries[entry].incarnation;
                let delay = self.delay();
                self.fly(delay, Flight::ToEntry { entry, incarnation, event: event.clone() });
            }
        }
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

    fn run_store(&mut self, entry: usize, incarnation: u64, to: Caller, call: Call) {
        let now = self.now;
        let cut = now < self.store_down_until || now < self.entries[entry].cut_until;
        let answer = if cut { Answer::Failed } else { self.store.run(call, now) };
        let lost = now < self.replies_lost_until || self.is_lost();
        let failed = cut || lost;
        let answer = if failed { Answer::Failed } else { answer };
        let delay = if failed { TIMEOUT_MS } else { self.delay() };
        self.fly(delay, Flight::StoreAnswer { entry, incarnation, to, answer });
        self.note_finals();
    }

    fn answer(&mut self, entry: usize, incarnation: u64, to: Caller, answer: Answer) {
        if self.entries[entry].incarnation != incarnation {
            return;
        }
        if !self.entries[entry].is_up(self.now) {
            return self.fly(STEP_MS, Flight::StoreAnswer { entry, incarnation, to, answer });
        }
        match to {
            Caller::Commit(bucket) => {
                let event = match answer {
                    Answer::Written(Some(revision)) => {
                        PlannerEvent::CommitDone { bucket, revision }
                    }
                    Answer::Written(None) => PlannerEvent::CommitConflict { bucket },
                    _ => PlannerEvent::CommitUnknown { bucket },
                };
                self.plan(entry, event);
            }
            Caller::Read(bucket) => {
                let event = match answer {
                    Answer::Read(found) => PlannerEvent::ReadDone { bucket, found },
                    _ => PlannerEvent::ReadFailed { bucket },
                };
                self.plan(entry, event);
            }
            Caller::Lease => {
                let actions = self.lease_answer(entry, answer);
                self.do_lease(entry, actions);
            }
        }
    }

    fn lease_answer(&mut self, entry: usize, answer: Answer) -> Vec<LeaseAction> {
        let now = self.now;
        let entry = &mut self.entries[entry];
        let events = match answer {
            Answer::Read(found) => vec![
                LeaseEvent::TermRead(found.clone()),
                LeaseEvent::AliveRead(found.map(|(_, value)| value)),
            ],
            Answer::Granted(lease) => vec![LeaseEvent::Granted(lease)],
            Answer::Written(revision) => {
                vec![LeaseEvent::TermWritten(revision), LeaseEvent::Claimed(revision.is_some())]
            }
            Answer::Kept(known) => vec![LeaseEvent::KeptAlive(known)],
            Answer::Failed => vec![LeaseEvent::CallFailed],
        };
        let event = events.into_iter().find(|event| entry.lease.awaits(event));
        event.map_or_else(Vec::new, |event| entry.lease(event, now))
    }

    fn on_beat(&mut self, entry: usize, agent: usize, beat: Box<geraniumpost_schema::Heartbeat>) {
        let now = self.now;
        if !self.entries[entry].is_up(now) {
            return;
        }
        let hold_ms = self.entries[entry].lease.hold_ms();
        let standing = self.entries[entry].standing(now);
        let Some(planner) = &mut self.entries[entry].planner else { return };
        let (term, hold_ms) = planner.heartbeat(&beat, hold_ms, standing, Millis(now));
        let ack = HeartbeatAck {
            entry: Name::default(),
            sequence: beat.sequence,
            incarnation: beat.incarnation,
            config_revision: 1,
            term,
            hold_ms,
            entries_digest: 0,
            entries: Vec::new(),
        };
        let (incarnation, event) = (beat.incarnation, LedgerEvent::Ack(ack));
        if !self.is_lost() && !self.is_cut(entry, agent) {
            let delay = self.delay();
            self.fly(delay, Flight::ToAgent { agent, incarnation, event });
        }
    }

    fn run_worker(&mut self, agent: usize, incarnation: u64, asked: u64, call: LedgerAction) {
        let now = self.now;
        if now < self.agents[agent].down_until {
            return;
        }
        let length = self.rng.random_range(500..6_000);
        let worker = &mut self.agents[agent].worker;
        let event = if call == LedgerAction::List {
            Some(LedgerEvent::Listed { asked: Millis(asked), tasks: worker.list(now) })
        } else {
            worker.run(call, now, length)
        };
        let Some(event) = event else { return };
        if !self.is_lost() {
            let delay = self.delay().min(100);
            self.fly(delay, Flight::ToAgent { agent, incarnation, event });
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
