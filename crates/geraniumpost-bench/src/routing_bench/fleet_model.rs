use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use geraniumpost_core::Millis;
use geraniumpost_core::requests::{
    AgentView, EjectionChange, Ejector, InFlightGuard, Location, RoutingQuery, Snapshot,
};
use geraniumpost_schema::{Load, Name};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::policy_kind::{Policy, PolicyKind};
use super::scenario::{MinionFault, Scenario};
use super::tally::Tally;

/// Slots of each minion.
const SLOTS: usize = 8;
/// Mean service time of a request.
const MEAN_SERVICE_US: u64 = 10_000;
/// Time after which a failing minion answers.
const FAILURE_US: u64 = 200;
/// One-way network latency within a failure domain.
const SAME_DOMAIN_US: u64 = 50;
/// One-way network latency between two failure domains.
const CROSS_DOMAIN_US: u64 = 500;
const DOMAINS: [&str; 4] = ["miraflores", "surco", "callao", "ate"];
/// Time after which a second attempt is sent to another agent: three mean service times.
pub const HEDGE_DELAY_US: u64 = 3 * MEAN_SERVICE_US;
/// Requests for each second attempt that the budget allows.
const REQUESTS_PER_HEDGE: u64 = 20;
/// Results before this time are not counted.
const WARM_UP_US: u64 = 2_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller's request arrives at an entry.
    Arrive(usize),
    /// An attempt arrives at its agent.
    ReachAgent(u64),
    /// A minion has finished an attempt.
    Finish(u64),
    /// An answer arrives at its entry.
    Answer(u64),
    /// An attempt has had no answer for the hedge delay.
    Hedge(u64),
    /// An agent sends its load to all entries.
    Heartbeat(usize),
}

#[derive(Debug)]
struct Attempt {
    entry: usize,
    agent: usize,
    arrived_us: u64,
    /// Service time, if it is a property of the request.
    inherent_us: u64,
    /// The other attempt at the same request.
    sibling: Option<u64>,
    failed: bool,
    same_domain: bool,
    load: Load,
    guard: Option<InFlightGuard>,
}

/// An agent with the busy slots of its minion and the queue for them.
#[derive(Debug, Default)]
struct Agent {
    running: usize,
    waiting: VecDeque<u64>,
    service_us: u64,
    requests: u64,
}

struct Entry {
    location: Location,
    snapshot: Snapshot,
    policy: Policy,
    ejector: Ejector,
    rng: SmallRng,
}

struct Model<'a> {
    scenario: &'a Scenario,
    kind: PolicyKind,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    attempts: HashMap<u64, Attempt>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    last_number: u64,
    rng: SmallRng,
    now_us: u64,
    requests: u64,
    hedges: u64,
    tally: &'a mut Tally,
}

/// Runs one stream and adds the results to `tally`.
pub fn run(scenario: &Scenario, kind: PolicyKind, seed: u64, seconds: u64, tally: &mut Tally) {
    let mut model = Model {
        scenario,
        kind,
        entries: (0..scenario.entries).map(|n| create_entry(n, scenario, kind, seed)).collect(),
        agents: (0..scenario.agents).map(|_| Agent::default()).collect(),
        attempts: HashMap::new(),
        events: BinaryHeap::new(),
        last_number: 0,
        rng: SmallRng::seed_from_u64(seed),
        now_us: 0,
        requests: 0,
        hedges: 0,
        tally,
    };
    model.schedule_first_events();
    model.run_until(seconds * 1_000_000);
    let requests: Vec<u64> = model.agents.iter().map(|agent| agent.requests).collect();
    model.tally.record_distribution(&requests);
}

fn create_entry(number: usize, scenario: &Scenario, kind: PolicyKind, seed: u64) -> Entry {
    let location = Location::new("lima", DOMAINS[number % DOMAINS.len()]);
    let views = (0..scenario.agents).map(|n| {
        let domain = DOMAINS[n % DOMAINS.len()];
        AgentView::new(n.to_string(), 1)
            .service("filing")
            .at_location(Location::new("lima", domain))
    });
    Entry {
        snapshot: Snapshot::new(views, &location),
        location,
        policy: kind.create_policy(number),
        ejector: Ejector::default(),
        rng: SmallRng::seed_from_u64(seed * 1_000 + number as u64),
    }
}

impl Model<'_> {
    fn schedule_first_events(&mut self) {
        for entry in 0..self.entries.len() {
            self.schedule(0, Event::Arrive(entry));
        }
        for agent in 0..self.agents.len() {
            let heartbeat_us = self.rng.random_range(0..self.scenario.heartbeat_us);
            self.schedule(heartbeat_us, Event::Heartbeat(agent));
        }
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.last_number += 1;
        self.events.push(Reverse((self.now_us + after_us, self.last_number, event)));
    }

    fn run_until(&mut self, until_us: u64) {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > until_us {
                return;
            }
            self.now_us = at_us;
            match event {
                Event::Arrive(entry) => self.arrive(entry),
                Event::ReachAgent(attempt) => self.reach_agent(attempt),
                Event::Finish(attempt) => self.finish(attempt),
                Event::Answer(attempt) => self.answer(attempt),
                Event::Hedge(attempt) => self.start_hedge(attempt),
                Event::Heartbeat(agent) => self.send_heartbeat(agent),
            }
        }
    }

    const fn now(&self) -> Millis {
        Millis(self.now_us / 1000)
    }

    fn draw_exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.rng.random();
        (-(1.0 - uniform).ln() * mean) as u64 + 1
    }

    fn arrive(&mut self, number: usize) {
        let capacity = (self.scenario.agents * SLOTS) as f64 / MEAN_SERVICE_US as f64;
        let rate = capacity * self.scenario.load / self.scenario.entries as f64;
        let gap = self.draw_exponential(1.0 / rate);
        self.schedule(gap, Event::Arrive(number));
        self.requests += 1;
        let inherent_us = self.draw_exponential(MEAN_SERVICE_US as f64);
        let id = self.send(number, self.now_us, inherent_us, &[]);
        if self.kind == PolicyKind::Hedged {
            self.schedule(HEDGE_DELAY_US, Event::Hedge(id));
        }
    }

    /// Routes one attempt and returns its id.
    fn send(&mut self, number: usize, arrived_us: u64, inherent_us: u64, tried: &[Name]) -> u64 {
        let query = RoutingQuery::new(self.now()).retryable(true).tried(tried);
        let entry = &mut self.entries[number];
        let service = entry.snapshot.service("filing").expect("the model removes no agent");
        let decision = entry
            .policy
            .choose(service, &query, &mut entry.rng)
            .expect("the model keeps agents ready");
        let view = decision.agent();
        let same_domain = view.location() == &entry.location;
        let attempt = Attempt {
            entry: number,
            agent: view.name().parse().expect("agents are named by number"),
            arrived_us,
            inherent_us,
            sibling: None,
            failed: false,
            same_domain,
            load: Load::default(),
            guard: Some(view.counters().begin_request()),
        };
        self.last_number += 1;
        let id = self.last_number;
        self.attempts.insert(id, attempt);
        self.schedule(one_way_us(same_domain), Event::ReachAgent(id));
        id
    }

    /// Sends a second attempt to another agent if the first has no answer yet and the budget allows
    /// it.
    fn start_hedge(&mut self, first: u64) {
        let Some(attempt) = self.attempts.get(&first) else { return };
        if self.hedges * REQUESTS_PER_HEDGE >= self.requests {
            return;
        }
        self.hedges += 1;
        let (entry, arrived_us, inherent_us) =
            (attempt.entry, attempt.arrived_us, attempt.inherent_us);
        let tried = [Name::from(attempt.agent.to_string())];
        let second = self.send(entry, arrived_us, inherent_us, &tried);
        self.attempts.get_mut(&first).expect("the attempt has no answer yet").sibling =
            Some(second);
        self.attempts.get_mut(&second).expect("the attempt was just sent").sibling = Some(first);
    }

    fn reach_agent(&mut self, id: u64) {
        let Some(agent) = self.attempts.get(&id).map(|attempt| attempt.agent) else { return };
        self.agents[agent].requests += 1;
        if self.agents[agent].running < SLOTS {
            self.run(agent, id);
            return;
        }
        self.agents[agent].waiting.push_back(id);
        if self.now_us >= WARM_UP_US {
            self.tally.record_queue(self.agents[agent].waiting.len());
        }
    }

    fn run(&mut self, agent: usize, id: u64) {
        self.agents[agent].running += 1;
        if self.now_us >= WARM_UP_US {
            self.tally.record_run();
        }
        let independent_us = self.draw_exponential(MEAN_SERVICE_US as f64);
        let normal_us =
            if self.scenario.inherent { self.attempts[&id].inherent_us } else { independent_us };
        let service_us = match self.scenario.minion_fault {
            MinionFault::Slow(times) if agent == 0 => normal_us * times,
            MinionFault::Fails if agent == 0 => FAILURE_US,
            _ => normal_us,
        };
        let failed = self.scenario.minion_fault == MinionFault::Fails && agent == 0;
        let state = &mut self.agents[agent];
        if !failed {
            let average_us = if state.service_us == 0 { service_us } else { state.service_us };
            state.service_us = (average_us * 15 + service_us) / 16;
        }
        self.attempts.get_mut(&id).expect("a started attempt is known").failed = failed;
        self.schedule(service_us, Event::Finish(id));
    }

    fn finish(&mut self, id: u64) {
        let (agent, same_domain) = (self.attempts[&id].agent, self.attempts[&id].same_domain);
        self.agents[agent].running -= 1;
        if let Some(next) = self.agents[agent].waiting.pop_front() {
            self.run(agent, next);
        }
        if self.attempts[&id].guard.is_none() {
            // The other attempt was answered first, so this result is not used.
            self.attempts.remove(&id);
            return;
        }
        self.attempts.get_mut(&id).expect("the attempt has no answer yet").load = self.load(agent);
        self.schedule(one_way_us(same_domain), Event::Answer(id));
    }

    fn load(&self, agent: usize) -> Load {
        let state = &self.agents[agent];
        Load {
            in_flight: state.running as u32,
            queued: state.waiting.len() as u32,
            service_us: state.service_us,
            ..Load::default()
        }
    }

    fn answer(&mut self, id: u64) {
        let Some(mut attempt) = self.attempts.remove(&id) else { return };
        if attempt.guard.take().is_none() {
            return;
        }
        self.cancel_other_attempt(&attempt);
        let now = self.now();
        let entry = &mut self.entries[attempt.entry];
        let name = attempt.agent.to_string();
        let view = entry.snapshot.agent(&name).expect("the model removes no agent");
        if self.scenario.load_on_answers {
            view.counters().record_load(&attempt.load, now);
        }
        if self.kind.ejects() && view.counters().record_result(!attempt.failed) {
            let service = entry.snapshot.service("filing").expect("the model removes no agent");
            let change = entry.ejector.record(service, view, !attempt.failed, now);
            if matches!(change, EjectionChange::Ejected { .. } | EjectionChange::Restored) {
                let views = entry.snapshot.agents().map(|view| AgentView::clone(view));
                entry.snapshot = Snapshot::new(views, &entry.location);
            }
        }
        if attempt.arrived_us >= WARM_UP_US {
            self.tally.record_answer(
                self.now_us - attempt.arrived_us,
                attempt.failed,
                attempt.same_domain,
            );
        }
    }

    /// Cancels the other attempt: removes it from its agent's queue, or ignores its result if it is
    /// running already.
    fn cancel_other_attempt(&mut self, attempt: &Attempt) {
        let Some(id) = attempt.sibling else { return };
        let Some(other) = self.attempts.get_mut(&id) else { return };
        other.guard = None;
        let waiting = &mut self.agents[other.agent].waiting;
        let length = waiting.len();
        waiting.retain(|&queued| queued != id);
        if waiting.len() < length {
            self.attempts.remove(&id);
        }
    }

    fn send_heartbeat(&mut self, agent: usize) {
        let (load, now, name) = (self.load(agent), self.now(), agent.to_string());
        for entry in &self.entries {
            let view = entry.snapshot.agent(&name).expect("the model removes no agent");
            view.counters().record_load(&load, now);
        }
        self.schedule(self.scenario.heartbeat_us, Event::Heartbeat(agent));
    }
}

const fn one_way_us(same_domain: bool) -> u64 {
    if same_domain { SAME_DOMAIN_US } else { CROSS_DOMAIN_US }
}
