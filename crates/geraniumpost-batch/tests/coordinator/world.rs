//! A coordinator with a store that keeps what it is told, and minions that do what they are told.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use geraniumpost_batch::{
    Answer, Ask, Coordinator, Demand, Effect, EndKind, EndedTask, FromAgent, Inheritance, JobId,
    JobRecord, JobSpec, JobState, Knowledge, Look, MinionInfo, Now, Order, OrderKind, OrderOutcome,
    OrderResult, OrderVerb, QueueTerms, RunningTask, StepSpec, TaskId, ToAgent, WriteBatch,
};
use geraniumpost_schema::Name;

/// How long leases hold in these tests, in milliseconds.
pub const HOLD_MS: u64 = 5_000;

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
    pub answers: BTreeMap<u64, Answer>,
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
            coordinator: Coordinator::new(1, now).hold_ms(HOLD_MS),
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

    pub fn join(&mut self, name: &str, change: impl Fn(MinionInfo) -> MinionInfo) {
        let agent = agent(name);
        self.say(name, FromAgent::Hello { agent });
        self.say(name, FromAgent::Minion(change(minion(name))));
        self.beat(name);
        self.look(name);
    }

    pub fn say(&mut self, minion: &str, message: FromAgent) {
        match message {
            FromAgent::Beat { minion_ok: true, .. } => {
                self.beating.insert(minion.to_owned());
            }
            FromAgent::Beat { .. } | FromAgent::MinionGone { .. } => self.fall_silent(minion),
            _ => {}
        }
        self.coordinator.from_agent(&agent(minion), message, self.now);
        self.settle();
    }

    /// Lets an agent fall silent, while its link stays open.
    pub fn fall_silent(&mut self, minion: &str) {
        self.beating.remove(minion);
    }

    /// Lets the coordinator lose the link to a minion's agent.
    pub fn lose_agent(&mut self, minion: &str) {
        self.fall_silent(minion);
        self.coordinator.agent_lost(&agent(minion), self.now);
    }

    pub fn beat(&mut self, minion: &str) {
        let sent_at_ms = self.now.steady_ms;
        self.say(minion, FromAgent::Beat { sent_at_ms, minion_ok: true });
    }

    /// Lets a minion's agent pass its lists on.
    pub fn look(&mut self, minion: &str) {
        let name = Name::from(minion);
        let running = self.running.get(&name).into_iter().flatten();
        let running = running.map(|(task, run)| RunningTask {
            task: *task,
            run: *run,
            saved: Name::default(),
            percent: self.progress.get(task).copied().unwrap_or(self.percent),
            gauge: self.gauges.get(task).copied().unwrap_or(0),
        });
        let acknowledged = self.acknowledged.get(&name).copied().unwrap_or(0);
        let ended = self.ends.get(&name).into_iter().flatten();
        let look = Look {
            minion: name.clone(),
            running: Some(running.collect()),
            ended: ended.filter(|end| end.sequence > acknowledged).cloned().collect(),
            more_ends: false,
            orders_before: self.results,
        };
        self.say(minion, FromAgent::Look(look));
    }

    pub fn set_gauge(&mut self, task: TaskId, gauge: u32) {
        self.gauges.insert(task, gauge);
    }

    /// Does what the coordinator asks for; writes pass if they may.
    pub fn settle(&mut self) {
        loop {
            let effects = self.coordinator.take_effects(self.now);
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.perform(effect);
            }
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Write(batch) if self.writes_pass => self.write(batch),
            Effect::Write(batch) => self.writes.push(batch),
            Effect::Reply { ticket, answer } => {
                self.answers.insert(ticket, answer);
            }
            Effect::Tell { message: ToAgent::Order(order), .. } => self.orders.push(order),
            Effect::Tell { message: ToAgent::Acknowledge { minion, up_to }, .. } => {
                self.acknowledged.insert(minion, up_to);
            }
            Effect::Tell { message: ToAgent::DepartureSettled { minion }, .. } => {
                self.settled.push(minion);
            }
            Effect::Tell { agent, message: ToAgent::Lease { sent_at_ms, hold_ms, .. } } => {
                self.leases.push((agent, sent_at_ms, hold_ms));
            }
            Effect::Note(line) => self.notes.push(line),
            Effect::AskApproval { step, minions } => self.questions.push((step, minions)),
            Effect::Superseded => {}
        }
    }

    fn write(&mut self, batch: WriteBatch) {
        for (job, record) in batch.put {
            self.store.insert(job, record);
        }
        self.knowledge = batch.knowledge.or_else(|| self.knowledge.take());
        for job in batch.remove {
            self.store.remove(&job);
        }
        self.coordinator.written(batch.number, self.now);
    }

    /// Confirms the writes that were held back.
    pub fn pass_writes(&mut self) {
        self.writes_pass = true;
        for batch in std::mem::take(&mut self.writes) {
            self.write(batch);
        }
        self.settle();
    }

    /// Lets minions carry out the orders that they got.
    pub fn obey(&mut self) {
        while !self.orders.is_empty() {
            for order in std::mem::take(&mut self.orders) {
                self.obey_one(order);
            }
        }
    }

    pub fn obey_one(&mut self, order: Order) {
        let runs = self.running.entry(order.minion.clone()).or_default();
        let verb = OrderVerb::from(&order.kind);
        match &order.kind {
            OrderKind::Start { .. } => {
                self.paces.remove(&order.task);
                runs.insert(order.task, order.run);
            }
            OrderKind::Stop => {
                if runs.get(&order.task) == Some(&order.run) {
                    self.end(&order.minion.clone(), order.task, EndKind::Stopped);
                }
            }
            OrderKind::Pace { percent } => {
                self.paces.insert(order.task, *percent);
            }
        }
        self.result(&order, verb, OrderOutcome::Done);
    }

    pub fn result(&mut self, order: &Order, verb: OrderVerb, outcome: OrderOutcome) {
        self.results += 1;
        let result = OrderResult {
            minion: order.minion.clone(),
            task: order.task,
            run: order.run,
            verb,
            outcome,
            number: self.results,
        };
        let minion = order.minion.clone();
        self.say(&minion, FromAgent::Result(result));
    }

    /// Ends a run in a minion's lists; the coordinator hears of it with the next look.
    pub fn end(&mut self, minion: &Name, task: TaskId, kind: EndKind) {
        let run = self.running.get_mut(minion).and_then(|runs| runs.remove(&task));
        let run = run.expect("the task runs there");
        let ends = self.ends.entry(minion.clone()).or_default();
        let sequence = ends.len() as u64 + 1;
        ends.push(EndedTask { sequence, task, run, kind, saved: Name::default() });
    }

    /// Ends everything that runs, and lets all minions be looked at.
    pub fn end_all(&mut self, kind: EndKind) {
        for (minion, runs) in self.running.clone() {
            for task in runs.into_keys() {
                self.end(&minion, task, kind);
            }
            self.look(&minion);
        }
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
                self.coordinator.store_confirmed(self.now.steady_ms);
            }
            self.coordinator.tick(self.now);
            self.settle();
        }
    }

    pub fn ask(&mut self, ask: Ask) -> u64 {
        self.tickets += 1;
        self.coordinator.ask(self.tickets, ask, self.now);
        self.settle();
        self.tickets
    }

    pub fn submit(&mut self, id: u64, steps: Vec<StepSpec>) -> u64 {
        self.submit_as(id, steps, terms())
    }

    pub fn submit_as(&mut self, id: u64, steps: Vec<StepSpec>, terms: QueueTerms) -> u64 {
        let spec = JobSpec { payload: "work".into(), steps, ..JobSpec::default() };
        self.ask(Ask::Submit { job: JobId(id), spec, terms })
    }

    pub fn answer(&self, ticket: u64) -> Option<Answer> {
        self.answers.get(&ticket).copied()
    }

    pub fn state(&mut self, id: u64) -> Answer {
        let ticket = self.ask(Ask::State(JobId(id)));
        self.answer(ticket).expect("states are told at once")
    }

    /// Lets a minion's agent be killed and start again, which counts its results from the beginning.
    pub fn restart_agent(&mut self, minion: &str) {
        self.lose_agent(minion);
        self.results = 0;
        self.join(minion, |info| info);
    }

    /// Answers a question to the admission service with the minions that it approves, or not at all.
    pub fn approve(&mut self, question: &(TaskId, Vec<Name>), good: Option<&[&str]>) {
        let ticket = |minion: &&str| (Name::from(*minion), Name::from("t-1"));
        let answer = good.map(|good| (good.iter().map(ticket).collect(), 3_000));
        self.coordinator.approved(question.0, &question.1, answer, self.now);
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
        self.take_over_with(&Inheritance::default());
    }

    /// Lets another coordinator take over from one that may live on without the store.
    pub fn take_over_from_silent(&mut self) {
        let silent = Inheritance::default().taken_over(Some(SILENT), SUCCESSOR, HOLD_MS);
        self.take_over_with(&silent);
    }

    /// Lets another coordinator take over with what its predecessor left behind.
    pub fn take_over_with(&mut self, inheritance: &Inheritance) {
        self.fence += 1;
        let records = self.store.iter().map(|(id, bytes)| {
            (*id, JobRecord::decode(bytes).expect("the record was written by this version"))
        });
        self.coordinator = Coordinator::new(self.fence, self.now)
            .hold_ms(HOLD_MS)
            .inheriting(inheritance, self.now)
            .with_knowledge(self.knowledge.as_ref().map_or_else(Knowledge::default, |bytes| {
                Knowledge::decode(bytes).expect("this version wrote it")
            }))
            .with_records(records.collect(), self.now);
        self.orders.clear();
        self.writes.clear();
        self.beating.clear();
        self.settle();
    }
}

/// Returns what a minion of 16 processors and 64 GB says of itself.
pub fn minion(name: &str) -> MinionInfo {
    MinionInfo {
        id: name.into(),
        service: "study".into(),
        domain: "surco".into(),
        capacity: Demand { milli_cpus: 16_000, memory_mb: 64_000, accelerators: 0 },
        labels: vec!["a".into(), "r1".into()],
        draining: false,
        remaining_ms: None,
        sequence: 1,
    }
}

pub fn agent(minion: &str) -> Name {
    // The incarnation is behind a dash: "m1" and "m1-b" are lives of one machine.
    Name::from(format!("agent-{}", minion.split('-').next().unwrap_or(minion)))
}

pub fn terms() -> QueueTerms {
    QueueTerms {
        queue: "studies".into(),
        service: "study".into(),
        priority: 1,
        max_attempts: 2,
        stretch_percent: 200,
        target_ms: 500,
        needs_approval: false,
    }
}

/// A step of tasks that take a processor and a gigabyte each.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        demand: Demand { milli_cpus: 1_000, memory_mb: 1_000, accelerators: 0 },
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

pub const fn task(job: u64, step: u16, index: u32) -> TaskId {
    TaskId { job: JobId(job), occurrence: 0, step, index }
}

pub const COMPLETED: Answer = Answer::State(JobState::Completed);
