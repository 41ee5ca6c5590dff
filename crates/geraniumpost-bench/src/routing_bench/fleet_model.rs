use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use geraniumpost_core::Millis;
use geraniumpost_core::requests::{
    AgentView, EjectionChange, Ejector, InFlightGuard, Location, RoutingQuery, Snapshot,
};
use geraniumpost_schema::{Load, Name};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::contender::{Contender, Policy};
use super::scenario::{Odd, Scenario};
use super::tally::Tally;

const SLOTS: usize = 8;
const MEAN_US: u64 = 10_000;
const FAILS_IN_US: u64 = 200;
/// One way within a failure domain and between two.
const NEAR_US: u64 = 50;
const FAR_US: u64 = 500;
const DOMAINS: [&str; 4] = ["miraflores", "surco", "callao", "ate"];
/// How long an attempt may take before a second one is sent elsewhere: three mean service times.
pub const HEDGE_US: u64 = 3 * MEAN_US;
/// Second attempts are at most one for this many requests.
const REQUESTS_PER_HEDGE: u64 = 20;
/// Answers before this instant are not counted.
const WARM_US: u64 = 2_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller's request comes to an entry.
    Arrive(usize),
    /// A request reaches its agent.
    Reach(u64),
    /// A request leaves its minion.
    Done(u64),
    /// An answer is back at its entry.
    Answer(u64),
    /// A request has taken long.
    Hedge(u64),
    /// An agent reports its load to all entries.
    Beat(usize),
}

#[derive(Debug)]
struct Job {
    entry: usize,
    agent: usize,
    came_us: u64,
    /// Service time, if it belongs to the request.
    inherent_us: u64,
    /// The other attempt at the same request.
    twin: Option<u64>,
    failed: bool,
    near: bool,
    load: Load,
    guard: Option<InFlightGuard>,
}

/// A minion with its slots and the queue before it.
#[derive(Debug, Default)]
struct Agent {
    running: usize,
    waiting: VecDeque<u64>,
    service_us: u64,
    requests: u64,
}

struct Entry {
    place: Location,
    snapshot: Snapshot,
    policy: Policy,
    ejector: Ejector,
    rng: SmallRng,
}

struct Model<'a> {
    scenario: &'a Scenario,
    contender: Contender,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    jobs: HashMap<u64, Job>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    rng: SmallRng,
    now_us: u64,
    requests: u64,
    hedges: u64,
    tally: &'a mut Tally,
}

/// Runs one stream and adds what callers saw to `tally`.
pub fn run(scenario: &Scenario, contender: Contender, seed: u64, seconds: u64, tally: &mut Tally) {
    let mut model = Model {
        scenario,
        contender,
        entries: (0..scenario.entries).map(|n| entry(n, scenario, contender, seed)).collect(),
        agents: (0..scenario.agents).map(|_| Agent::default()).collect(),
        jobs: HashMap::new(),
        events: BinaryHeap::new(),
        order: 0,
        rng: SmallRng::seed_from_u64(seed),
        now_us: 0,
        requests: 0,
        hedges: 0,
        tally,
    };
    model.start();
    model.play(seconds * 1_000_000);
    let requests: Vec<u64> = model.agents.iter().map(|agent| agent.requests).collect();
    model.tally.spread(&requests);
}

fn entry(number: usize, scenario: &Scenario, contender: Contender, seed: u64) -> Entry {
    let place = Location::new("lima", DOMAINS[number % DOMAINS.len()]);
    let views = (0..scenario.agents).map(|n| {
        let domain = DOMAINS[n % DOMAINS.len()];
        AgentView::new(n.to_string(), 1)
            .service("filing")
            .at_location(Location::new("lima", domain))
    });
    Entry {
        snapshot: Snapshot::new(views, &place),
        place,
        policy: contender.policy(number),
        ejector: Ejector::default(),
        rng: SmallRng::seed_from_u64(seed * 1_000 + number as u64),
    }
}

impl Model<'_> {
    fn start(&mut self) {
        for entry in 0..self.entries.len() {
            self.push(0, Event::Arrive(entry));
        }
        for agent in 0..self.agents.len() {
            let beat_us = self.rng.random_range(0..self.scenario.beat_us);
            self.push(beat_us, Event::Beat(agent));
        }
    }

    fn push(&mut self, after_us: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((self.now_us + after_us, self.order, event)));
    }

    fn play(&mut self, until_us: u64) {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > until_us {
                return;
            }
            self.now_us = at_us;
            match event {
                Event::Arrive(entry) => self.arrive(entry),
                Event::Reach(job) => self.reach(job),
                Event::Done(job) => self.done(job),
                Event::Answer(job) => self.answer(job),
                Event::Hedge(job) => self.hedge(job),
                Event::Beat(agent) => self.beat(agent),
            }
        }
    }

    const fn now(&self) -> Millis {
        Millis(self.now_us / 1000)
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.rng.random();
        (-(1.0 - uniform).ln() * mean) as u64 + 1
    }

    fn arrive(&mut self, number: usize) {
        let capacity = (self.scenario.agents * SLOTS) as f64 / MEAN_US as f64;
        let rate = capacity * self.scenario.load / self.scenario.entries as f64;
        let gap = self.exponential(1.0 / rate);
        self.push(gap, Event::Arrive(number));
        self.requests += 1;
        let inherent_us = self.exponential(MEAN_US as f64);
        let id = self.send(number, self.now_us, inherent_us, &[]);
        if self.contender == Contender::Hedged {
            self.push(HEDGE_US, Event::Hedge(id));
        }
    }

    /// Routes one attempt and returns its number.
    fn send(&mut self, number: usize, came_us: u64, inherent_us: u64, tried: &[Name]) -> u64 {
        let ask = RoutingQuery::new(self.now()).retryable(true).tried(tried);
        let entry = &mut self.entries[number];
        let service = entry.snapshot.service("filing").expect("agents never die here");
        let choice = entry.policy.choose(service, &ask, &mut entry.rng).expect("some are ready");
        let view = choice.agent();
        let near = view.location() == &entry.place;
        let job = Job {
            entry: number,
            agent: view.name().parse().expect("agents are named by number"),
            came_us,
            inherent_us,
            twin: None,
            failed: false,
            near,
            load: Load::default(),
            guard: Some(view.counters().begin_request()),
        };
        self.order += 1;
        let id = self.order;
        self.jobs.insert(id, job);
        self.push(way_us(near), Event::Reach(id));
        id
    }

    /// Sends a second attempt elsewhere if the first has no answer yet and the budget allows it.
    fn hedge(&mut self, first: u64) {
        let Some(job) = self.jobs.get(&first) else { return };
        if self.hedges * REQUESTS_PER_HEDGE >= self.requests {
            return;
        }
        self.hedges += 1;
        let (entry, came_us, inherent_us) = (job.entry, job.came_us, job.inherent_us);
        let tried = [Name::from(job.agent.to_string())];
        let second = self.send(entry, came_us, inherent_us, &tried);
        self.jobs.get_mut(&first).expect("it is still under way").twin = Some(second);
        self.jobs.get_mut(&second).expect("it was just sent").twin = Some(first);
    }

    fn reach(&mut self, id: u64) {
        let Some(agent) = self.jobs.get(&id).map(|job| job.agent) else { return };
        self.agents[agent].requests += 1;
        if self.agents[agent].running < SLOTS {
            self.run(agent, id);
            return;
        }
        self.agents[agent].waiting.push_back(id);
        if self.now_us >= WARM_US {
            self.tally.queue(self.agents[agent].waiting.len());
        }
    }

    fn run(&mut self, agent: usize, id: u64) {
        self.agents[agent].running += 1;
        if self.now_us >= WARM_US {
            self.tally.run();
        }
        let drawn = self.exponential(MEAN_US as f64);
        let normal = if self.scenario.inherent { self.jobs[&id].inherent_us } else { drawn };
        let took = match self.scenario.odd {
            Odd::Slow(times) if agent == 0 => normal * times,
            Odd::Fails if agent == 0 => FAILS_IN_US,
            _ => normal,
        };
        let failed = self.scenario.odd == Odd::Fails && agent == 0;
        let one = &mut self.agents[agent];
        if !failed {
            let old = if one.service_us == 0 { took } else { one.service_us };
            one.service_us = (old * 15 + took) / 16;
        }
        self.jobs.get_mut(&id).expect("it just reached the agent").failed = failed;
        self.push(took, Event::Done(id));
    }

    fn done(&mut self, id: u64) {
        let (agent, near) = (self.jobs[&id].agent, self.jobs[&id].near);
        self.agents[agent].running -= 1;
        if let Some(next) = self.agents[agent].waiting.pop_front() {
            self.run(agent, next);
        }
        if self.jobs[&id].guard.is_none() {
            // The other attempt was answered first, so nobody waits for this one.
            self.jobs.remove(&id);
            return;
        }
        self.jobs.get_mut(&id).expect("it is still under way").load = self.load(agent);
        self.push(way_us(near), Event::Answer(id));
    }

    fn load(&self, agent: usize) -> Load {
        let one = &self.agents[agent];
        Load {
            in_flight: one.running as u32,
            queued: one.waiting.len() as u32,
            service_us: one.service_us,
            ..Load::default()
        }
    }

    fn answer(&mut self, id: u64) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        if job.guard.take().is_none() {
            return;
        }
        self.forget_twin(&job);
        let now = self.now();
        let entry = &mut self.entries[job.entry];
        let name = job.agent.to_string();
        let view = entry.snapshot.agent(&name).expect("agents never die here");
        if self.scenario.load_on_answers {
            view.counters().record_load(&job.load, now);
        }
        if self.contender.ejects() && view.counters().record_result(!job.failed) {
            let service = entry.snapshot.service("filing").expect("agents never die here");
            let change = entry.ejector.record(service, view, !job.failed, now);
            if matches!(change, EjectionChange::Ejected { .. } | EjectionChange::Restored) {
                let views = entry.snapshot.agents().map(|view| AgentView::clone(view));
                entry.snapshot = Snapshot::new(views, &entry.place);
            }
        }
        if job.came_us >= WARM_US {
            self.tally.answer(self.now_us - job.came_us, job.failed, job.near);
        }
    }

    /// Cancels the other attempt: it leaves its agent's queue, or runs on for nobody.
    fn forget_twin(&mut self, job: &Job) {
        let Some(id) = job.twin else { return };
        let Some(twin) = self.jobs.get_mut(&id) else { return };
        twin.guard = None;
        let waiting = &mut self.agents[twin.agent].waiting;
        let before = waiting.len();
        waiting.retain(|&other| other != id);
        if waiting.len() < before {
            self.jobs.remove(&id);
        }
    }

    fn beat(&mut self, agent: usize) {
        let (load, now, name) = (self.load(agent), self.now(), agent.to_string());
        for entry in &self.entries {
            let view = entry.snapshot.agent(&name).expect("agents never die here");
            view.counters().record_load(&load, now);
        }
        self.push(self.scenario.beat_us, Event::Beat(agent));
    }
}

const fn way_us(near: bool) -> u64 {
    if near { NEAR_US } else { FAR_US }
}
