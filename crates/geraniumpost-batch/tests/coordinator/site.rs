//! Machines with an agent and a minion each, entries that take over from each other, and a clock.
//!
//! Agents do what `geraniumpost`'s `batch/agent` does: they beat each half second, look each 0.4 s,
//! tell what happens only over an open link, and tell a new link of the present minion and of departures
//! that are not settled.
//!
//! The coordinator is the real one, and so is what it leaves to its successor ([`Inheritance`]) and what
//! agents keep of departures ([`Departures`]). What the shell around them does is copied here, and must
//! follow it: when an entry takes over and whom it asks for a word (`Candidate`, `await_predecessor`),
//! what an agent says to whom (`State`), and that a coordinator does not notice a link that dies without
//! a word (`Doorway::pass_on`).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use geraniumpost_batch::{
    Coordinator, Departures, Effect, EndKind, FromAgent, Inheritance, JobId, JobRecord, MinionInfo,
    Order, OrderKind, OrderOutcome, OrderVerb, TaskId, ToAgent,
};
use geraniumpost_schema::Name;

use crate::world::{HOLD_MS, World, agent, minion, step, task};

/// One step of the clock, in milliseconds; ticks of the coordinator are that far apart.
const STEP_MS: u64 = 100;
const BEAT_MS: u64 = 500;
const LOOK_MS: u64 = 400;
/// How long after its last answer a minion counts as answering.
const ANSWERED_MS: u64 = 2_500;
/// Time from a farewell until the agent takes the minion for gone.
const FAREWELL_MS: u64 = 300;
/// Time that an agent gives an order.
const ORDER_MS: u64 = 700;
/// Silence of the coordinator after which agents look for another one.
const SILENCE_MS: u64 = 700;
/// How late an order is carried out that is under way for long.
const LATE_MS: u64 = 2_500;
/// How long a killed entry is away.
const BACK_MS: u64 = 2_000;
/// How long an agent that was asked to stop may stay.
const GRACE_MS: u64 = 5_000;
/// Pause between two looks at a predecessor.
const DOUBT_MS: u64 = 300;
const FROZEN_MS: u64 = 2_500;
const CUT_OFF_MS: u64 = 14_000;
/// What is promised: a task whose run ended is at work again after so long, at most.
const AT_WORK_MS: u64 = 9_000;
/// The same, counted from the end of the last disturbance.
const AFTER_TROUBLE_MS: u64 = 7_000;
/// When the first event happens.
const QUIET_MS: u64 = 2_000;
/// When a day ends at the latest, after its last event.
const LONGEST_MS: u64 = 32_000;

/// Tasks of the standing step.
const TASKS: u32 = 6;
/// What large tasks beside them take.
const LARGE_MILLI_CPUS: i64 = 12_000;

/// What happens to the site, much of it at one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    Nothing,
    /// The minion gives notice, and says its farewell three seconds later.
    Notice,
    /// The same, and the agent is asked to stop 0.7 s after the farewell: the VM is taken away.
    VmLeaves,
    /// The minion says its farewell without notice.
    Farewell,
    /// The minion crashes, and another incarnation starts a second later.
    CrashAndBack,
    /// The minion crashes for good; its machine and the agent stay.
    Crash,
    /// The machine is lost with all on it.
    MachineLost,
    /// The agent reaches nobody for 2.5 s; its link says nothing of it.
    AgentCut,
    /// The same for eight seconds, for longer than a lease.
    AgentCutLong,
    /// The agent is asked to stop; the minion beside it stays.
    AgentStops,
    /// The agent is killed, and starts again a second later.
    AgentKilled,
    /// The agent is asked to restart.
    AgentRestarts,
    /// The coordinator is asked to restart.
    TakeOver,
    /// The coordinator is killed; its process is back after two seconds.
    TakeOverKilled,
    /// The coordinator freezes for 2.5 s, and then learns of its successor.
    TakeOverFrozen,
    /// The coordinator's machine is lost, which nobody can tell from silence.
    TakeOverSilent,
    /// The coordinator is cut off for 14 s from all but the agent of the machine meant.
    TakeOverCutOff,
    /// Entries are restarted one after the other, as by a new version.
    TakeOversInARow,
    /// Entries are killed one after the other.
    TakeOversKilled,
    /// The coordinator is killed; agents find the next one 0.6 s apart.
    AgentsLinkLate,
    /// Writes are held back for three seconds.
    WritesHeld,
    /// Writes are held back for three seconds, and lost with the coordinator.
    WritesLost,
    /// The store is away for nine seconds.
    StoreAway,
    /// For a second, orders have no answer and are carried out 2.5 s later.
    OrdersLate,
    /// All other machines are full for three seconds.
    Full,
}

impl Event {
    pub const ALL: [Self; 25] = [
        Self::Nothing,
        Self::Notice,
        Self::VmLeaves,
        Self::Farewell,
        Self::CrashAndBack,
        Self::Crash,
        Self::MachineLost,
        Self::AgentCut,
        Self::AgentCutLong,
        Self::AgentStops,
        Self::AgentKilled,
        Self::AgentRestarts,
        Self::TakeOver,
        Self::TakeOverKilled,
        Self::TakeOverFrozen,
        Self::TakeOverSilent,
        Self::TakeOverCutOff,
        Self::TakeOversInARow,
        Self::TakeOversKilled,
        Self::AgentsLinkLate,
        Self::WritesHeld,
        Self::WritesLost,
        Self::StoreAway,
        Self::OrdersLate,
        Self::Full,
    ];

    /// Returns how long the disturbance lasts, in milliseconds; `None` for planned work.
    const fn trouble_ms(self) -> Option<u64> {
        match self {
            Self::Nothing
            | Self::Notice
            | Self::VmLeaves
            | Self::Farewell
            | Self::AgentStops
            | Self::AgentRestarts
            | Self::TakeOver
            | Self::TakeOversInARow
            | Self::Full => None,
            Self::CrashAndBack
            | Self::Crash
            | Self::MachineLost
            | Self::AgentKilled
            | Self::TakeOverSilent => Some(0),
            Self::TakeOverKilled | Self::AgentsLinkLate => Some(BACK_MS),
            Self::AgentCut => Some(2_500),
            Self::AgentCutLong => Some(8_000),
            Self::TakeOverFrozen => Some(FROZEN_MS),
            Self::TakeOverCutOff => Some(CUT_OFF_MS),
            Self::TakeOversKilled => Some(4_000 + BACK_MS),
            Self::WritesHeld => Some(3_000),
            Self::WritesLost => Some(3_000 + BACK_MS),
            Self::StoreAway => Some(9_000),
            Self::OrdersLate => Some(1_000 + LATE_MS),
        }
    }
}

/// A part of an event, at one machine or at none.
#[derive(Debug, Clone, Copy)]
enum Act {
    Drain,
    Farewell,
    Crash,
    Reborn,
    Cut,
    Mend,
    StopAgent,
    KillAgent,
    StartAgent,
    TakeOver(Loss),
    /// An entry that was lost so answers again, and knows who coordinates.
    Word(u64),
    CutOff,
    Heal,
    HoldWrites,
    PassWrites,
    StoreAway,
    StoreBack,
    Late(bool),
    Full(bool),
}

/// How a coordinator is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// It has said so in its key.
    Planned,
    /// Links to it are refused, until its process is back. As a path may refuse links as well, it
    /// counts as silent.
    Killed,
    /// The same, and agents find the next one late.
    KilledAndFoundLate,
    /// It is silent for a while.
    Frozen,
    /// It is silent for good.
    Lost,
    /// It is silent for those it is cut off from, and goes on for others.
    CutOff,
}

impl Loss {
    /// Returns how long nobody coordinates.
    const fn gap_ms(self) -> u64 {
        match self {
            Self::Planned => 100,
            Self::Killed | Self::KilledAndFoundLate => 300,
            Self::Frozen | Self::Lost | Self::CutOff => 1_000,
        }
    }

    /// Returns after how long the entry answers again, in milliseconds.
    const fn word_ms(self) -> Option<u64> {
        match self {
            Self::Killed | Self::KilledAndFoundLate => Some(BACK_MS),
            Self::Frozen => Some(FROZEN_MS),
            Self::CutOff => Some(CUT_OFF_MS),
            Self::Planned | Self::Lost => None,
        }
    }
}

/// Nobody coordinates.
#[derive(Debug)]
struct Vacancy {
    until_ms: u64,
    loss: Loss,
    /// Number of the loss of the coordinator that the key names.
    number: u64,
    /// When agents look for another link at the earliest.
    found_ms: u64,
}

#[derive(Debug)]
struct Incarnation {
    id: Name,
    draining: bool,
    /// Until when it holds what it runs.
    hold_ms: u64,
    /// The highest run of each task that was stopped or has ended.
    barred: BTreeMap<TaskId, u32>,
}

#[derive(Debug)]
struct Machine {
    name: String,
    lives: u32,
    minion: Option<Incarnation>,
    milli_cpus: i64,
    agent_up: bool,
    path_open: bool,
    linked: bool,
    /// Whether the coordinator has a link of it, which may be dead.
    known_linked: bool,
    link_at_ms: u64,
    present: Option<Name>,
    told_draining: bool,
    told_milli_cpus: i64,
    sequence: u64,
    answered_ms: u64,
    lease_ms: u64,
    leaving: Option<(u64, Name)>,
    departures: Departures,
    /// Whether the agent was asked to stop, and stays until all departures are settled.
    stopping_ms: Option<u64>,
}

impl Machine {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            lives: 1,
            minion: Some(Incarnation::new(name)),
            milli_cpus: 16_000,
            agent_up: true,
            path_open: true,
            linked: false,
            known_linked: false,
            link_at_ms: 0,
            present: None,
            told_draining: false,
            told_milli_cpus: 16_000,
            sequence: 0,
            answered_ms: 0,
            lease_ms: 0,
            leaving: None,
            departures: Departures::default(),
            stopping_ms: None,
        }
    }

    fn info(&mut self) -> Option<MinionInfo> {
        let id = self.present.clone()?;
        self.sequence += 1;
        let mut info = minion(&id);
        info.draining = self.told_draining;
        info.remaining_ms = self.told_draining.then_some(3_000);
        info.capacity.milli_cpus = self.told_milli_cpus;
        info.sequence = self.sequence;
        Some(info)
    }

    fn lives(&self, id: &Name) -> bool {
        self.minion.as_ref().is_some_and(|minion| minion.id == *id)
    }
}

impl Incarnation {
    fn new(name: &str) -> Self {
        Self { id: name.into(), draining: false, hold_ms: 0, barred: BTreeMap::new() }
    }
}

/// What a day has shown.
#[derive(Debug, Default, Clone)]
pub struct Report {
    /// The longest time by which the promise was missed, in milliseconds, with the task and how
    /// long it was down by then.
    pub late: Option<(u64, TaskId, u64)>,
    /// A task that ran at two places at once.
    pub twice: Option<String>,
    /// Whether a task that was never placed stands before one that was, in a step.
    pub skips_some: bool,
    pub trace: Vec<String>,
}

impl Report {
    pub fn kept(&self) -> bool {
        self.late.is_none() && self.twice.is_none()
    }
}

pub struct Site {
    world: World,
    machines: Vec<Machine>,
    begun_ms: u64,
    agenda: Vec<(u64, usize, Act)>,
    troubles: Vec<(u64, u64)>,
    vacancy: Option<Vacancy>,
    /// Losses of coordinators so far.
    losses: u64,
    /// What the coordinator's key leaves to the next one.
    left: Inheritance,
    /// When the coordinator next asks silent ones for a word.
    ask_ms: u64,
    /// Losses whose coordinators answer again, and know who coordinates.
    back: BTreeSet<u64>,
    /// A coordinator that is cut off from all but one agent.
    cut_off: Option<(Coordinator, usize)>,
    late_orders: bool,
    /// Orders that are carried out later, and results that come later.
    late: Vec<(u64, Order)>,
    unanswered: Vec<(u64, Order)>,
    last_place: BTreeMap<TaskId, usize>,
    down: BTreeMap<TaskId, u64>,
    room_ms: Option<u64>,
    noted: usize,
    report: Report,
}

impl Site {
    /// Returns a site of four machines where a standing step of six tasks is at work. If it is
    /// crowded, each machine also runs a large standing task, and one more has never run for lack of
    /// room.
    pub fn new(crowded: bool) -> Self {
        let mut world = World::new();
        world.beats_by_itself = false;
        let begun_ms = world.now.steady_ms;
        let mut site = Self {
            world,
            machines: ["m1", "m2", "m3", "m4"].map(Machine::new).into(),
            begun_ms,
            agenda: Vec::new(),
            troubles: Vec::new(),
            vacancy: None,
            losses: 0,
            left: Inheritance::default(),
            ask_ms: 0,
            back: BTreeSet::new(),
            cut_off: None,
            late_orders: false,
            late: Vec::new(),
            unanswered: Vec::new(),
            last_place: BTreeMap::new(),
            down: BTreeMap::new(),
            room_ms: None,
            noted: 0,
            report: Report::default(),
        };
        for _ in 0..10 {
            site.step();
        }
        let mut standing = step(TASKS);
        standing.persistent = true;
        site.world.submit(1, vec![standing]);
        if crowded {
            let mut large = step(5);
            large.persistent = true;
            large.demand.milli_cpus = LARGE_MILLI_CPUS;
            site.world.submit(2, vec![large]);
        }
        while site.at_ms() < QUIET_MS {
            site.step();
        }
        let large = if crowded { 4 } else { 0 };
        assert_eq!(site.world.places().len(), TASKS as usize + large, "at work at first");
        site
    }

    /// Plays events, each so many milliseconds after the one before, and what follows from them.
    ///
    /// An event that means a machine means the one where the task of its index ran last.
    pub fn play(mut self, events: &[(u64, Event, u32)]) -> Report {
        for (gap_ms, event, index) in events {
            let until_ms = self.at_ms() + gap_ms;
            while self.at_ms() < until_ms {
                self.step();
            }
            self.begin(*event, *index);
        }
        let until_ms = self.at_ms() + LONGEST_MS;
        let mut calm_ms = 0;
        while self.at_ms() < until_ms && calm_ms < 1_000 {
            self.step();
            let calm = self.agenda.is_empty() && self.vacancy.is_none() && self.down.is_empty();
            // A minion without an agent ends what it runs when its lease has lapsed.
            let calm = calm && self.machines.iter().all(Self::is_settled);
            calm_ms = if calm { calm_ms + STEP_MS } else { 0 };
        }
        self.report.skips_some = self.skips_some();
        self.report
    }

    fn is_settled(machine: &Machine) -> bool {
        match &machine.minion {
            Some(minion) => machine.linked || minion.hold_ms == 0,
            None => true,
        }
    }

    /// Returns the time since the site's beginning.
    fn at_ms(&self) -> u64 {
        self.world.now.steady_ms - self.begun_ms
    }

    fn trace(&mut self, line: String) {
        let at_ms = self.at_ms();
        self.report.trace.push(format!("{:5.1} {line}", at_ms as f64 / 1_000.0));
    }

    fn begin(&mut self, event: Event, index: u32) {
        use Act::{
            Crash, Cut, CutOff, Drain, Farewell, Full, Heal, HoldWrites, KillAgent, Late, Mend,
            PassWrites, Reborn, StartAgent, StopAgent, StoreAway, StoreBack, TakeOver,
        };
        let acts: &[(u64, Act)] = match event {
            Event::Nothing => &[],
            Event::Notice => &[(0, Drain), (3_000, Farewell)],
            Event::VmLeaves => &[(0, Drain), (3_000, Farewell), (3_700, StopAgent)],
            Event::Farewell => &[(0, Farewell)],
            Event::CrashAndBack => &[(0, Crash), (1_000, Reborn)],
            Event::Crash => &[(0, Crash)],
            Event::MachineLost => &[(0, Crash), (0, Cut)],
            Event::AgentCut => &[(0, Cut), (2_500, Mend)],
            Event::AgentCutLong => &[(0, Cut), (8_000, Mend)],
            Event::AgentStops => &[(0, StopAgent)],
            Event::AgentKilled => &[(0, KillAgent), (1_000, StartAgent)],
            Event::AgentRestarts => &[(0, StopAgent), (1_000, StartAgent)],
            Event::TakeOver => &[(0, TakeOver(Loss::Planned))],
            Event::TakeOverKilled => &[(0, TakeOver(Loss::Killed))],
            Event::TakeOverFrozen => &[(0, TakeOver(Loss::Frozen))],
            Event::TakeOverSilent => &[(0, TakeOver(Loss::Lost))],
            Event::TakeOverCutOff => &[(0, CutOff), (CUT_OFF_MS, Heal)],
            Event::TakeOversInARow => &[
                (0, TakeOver(Loss::Planned)),
                (2_000, TakeOver(Loss::Planned)),
                (4_000, TakeOver(Loss::Planned)),
            ],
            Event::TakeOversKilled => &[
                (0, TakeOver(Loss::Killed)),
                (1_500, TakeOver(Loss::Killed)),
                (4_000, TakeOver(Loss::Killed)),
            ],
            Event::AgentsLinkLate => &[(0, TakeOver(Loss::KilledAndFoundLate))],
            Event::WritesHeld => &[(0, HoldWrites), (3_000, PassWrites)],
            Event::WritesLost => {
                &[(0, HoldWrites), (3_000, TakeOver(Loss::Killed)), (3_000, PassWrites)]
            }
            Event::StoreAway => &[(0, StoreAway), (9_000, StoreBack)],
            Event::OrdersLate => &[(0, Late(true)), (1_000, Late(false))],
            Event::Full => &[(0, Full(true)), (3_000, Full(false))],
        };
        let now_ms = self.world.now.steady_ms;
        let at = self.last_place.get(&task(1, 0, index)).copied().unwrap_or(0);
        self.trace(format!("event {event:?} at {}", self.machines[at].name));
        self.agenda.extend(acts.iter().map(|(after_ms, act)| (now_ms + after_ms, at, *act)));
        if let Some(lasts_ms) = event.trouble_ms() {
            self.troubles.push((now_ms, now_ms + lasts_ms));
        }
    }

    fn act(&mut self, at: usize, act: Act) {
        let now_ms = self.world.now.steady_ms;
        match act {
            Act::Drain => {
                if let Some(minion) = &mut self.machines[at].minion {
                    minion.draining = true;
                }
            }
            Act::Farewell => {
                let heard = self.machines[at].agent_up;
                if let Some(id) = self.end_minion(at).filter(|_| heard) {
                    self.machines[at].departures.leaves(&id);
                    self.machines[at].leaving = Some((now_ms + FAREWELL_MS, id));
                }
            }
            Act::Crash => {
                self.end_minion(at);
            }
            Act::Reborn => self.reborn(at),
            Act::Cut => self.machines[at].path_open = false,
            Act::Mend => {
                self.machines[at].path_open = true;
                self.machines[at].linked = false;
                self.machines[at].link_at_ms = now_ms + 200;
            }
            Act::StopAgent => self.machines[at].stopping_ms = Some(now_ms + GRACE_MS),
            Act::KillAgent => self.end_agent(at),
            Act::StartAgent if self.machines[at].stopping_ms.is_some() => {
                self.agenda.push((now_ms + STEP_MS, at, act));
            }
            Act::StartAgent => {
                self.machines[at].agent_up = true;
                self.machines[at].link_at_ms = now_ms + 300;
            }
            Act::TakeOver(loss) => self.lose_coordinator(loss),
            Act::Word(number) => {
                self.back.insert(number);
            }
            Act::CutOff => {
                if self.vacancy.is_none() && self.cut_off.is_none() {
                    let now = self.world.now;
                    let left =
                        std::mem::replace(&mut self.world.coordinator, Coordinator::new(0, now));
                    self.cut_off = Some((left, at));
                    self.lose_coordinator(Loss::CutOff);
                }
            }
            Act::Heal => {
                if let Some((_, at)) = self.cut_off.take() {
                    self.machines[at].link_at_ms = now_ms + 300;
                }
            }
            Act::HoldWrites => self.world.writes_pass = false,
            Act::PassWrites if !self.world.store_confirms => {}
            Act::PassWrites => self.world.pass_writes(),
            Act::StoreAway => {
                self.world.writes_pass = false;
                self.world.store_confirms = false;
            }
            Act::StoreBack => {
                self.world.store_confirms = true;
                self.world.pass_writes();
            }
            Act::Late(late) => self.late_orders = late,
            Act::Full(full) => {
                for other in (0..self.machines.len()).filter(|other| *other != at) {
                    let used = self.used(other);
                    self.machines[other].milli_cpus = if full { used } else { 16_000 };
                }
            }
        }
    }

    fn used(&self, at: usize) -> i64 {
        let id = self.machines[at].minion.as_ref().map(|minion| &minion.id);
        let runs = id.and_then(|id| self.world.running.get(id));
        runs.map_or(0, |runs| runs.keys().copied().map(demand).sum())
    }

    fn end_minion(&mut self, at: usize) -> Option<Name> {
        let minion = self.machines[at].minion.take()?;
        self.world.running.remove(&minion.id);
        self.trace(format!("minion {} is gone", minion.id));
        Some(minion.id)
    }

    fn reborn(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        if machine.minion.is_none() {
            machine.lives += 1;
            machine.minion = Some(Incarnation::new(&format!("{}-{}", machine.name, machine.lives)));
        }
    }

    /// Ends an agent that was asked to stop, once it has nothing to tell any more or may stay no longer.
    fn stop_agent(&mut self, at: usize) {
        let now_ms = self.world.now.steady_ms;
        let machine = &self.machines[at];
        let due = machine.stopping_ms.is_some_and(|until_ms| now_ms >= until_ms);
        if due || (machine.stopping_ms.is_some() && machine.departures.is_settled()) {
            self.end_agent(at);
        }
    }

    fn end_agent(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        machine.stopping_ms = None;
        machine.departures = Departures::default();
        machine.agent_up = false;
        machine.present = None;
        machine.leaving = None;
        machine.lease_ms = 0;
        machine.linked = false;
        let closed = machine.known_linked && machine.path_open;
        if closed {
            machine.known_linked = false;
        }
        let name = agent(&machine.name);
        if closed && self.vacancy.is_none() {
            self.world.coordinator.agent_lost(&name, self.world.now);
            self.world.settle();
        }
    }

    fn lose_coordinator(&mut self, loss: Loss) {
        let now_ms = self.world.now.steady_ms;
        self.losses += 1;
        self.trace(format!("coordinator is lost: {loss:?}"));
        // One that cannot write to the store does not say so in its key either.
        let unsaid = loss == Loss::Planned && !self.world.store_confirms;
        let loss = if unsaid { Loss::Killed } else { loss };
        if let Some(word_ms) = loss.word_ms() {
            self.agenda.push((now_ms + word_ms, 0, Act::Word(self.losses)));
        }
        if loss == Loss::Planned && self.vacancy.is_none() {
            self.left = self.world.coordinator.inheritance(self.world.now);
        }
        let until_ms = now_ms + loss.gap_ms();
        let silent = matches!(loss, Loss::Frozen | Loss::Lost | Loss::CutOff);
        let found_ms = if silent { until_ms.max(now_ms + SILENCE_MS) } else { until_ms };
        // Whoever was about to take over is lost as well; the key still names the one before.
        let (loss, number) = match &self.vacancy {
            Some(before) => (before.loss, before.number),
            None => (loss, self.losses),
        };
        self.vacancy = Some(Vacancy { until_ms, loss, number, found_ms });
        for machine in &mut self.machines {
            machine.linked = false;
            machine.known_linked = false;
        }
        self.world.orders.clear();
    }

    fn take_over(&mut self, vacancy: &Vacancy) {
        let silent = (vacancy.loss != Loss::Planned).then(|| address(vacancy.number));
        let own = address(self.losses + 1);
        let inheritance = std::mem::take(&mut self.left).taken_over(silent, own, HOLD_MS);
        self.world.take_over_with(&inheritance);
        self.left = inheritance.while_coordinating();
        self.ask_ms = self.world.now.steady_ms + DOUBT_MS;
        self.trace(format!("taken over, after {:?}", vacancy.loss));
        let apart_ms = if vacancy.loss == Loss::KilledAndFoundLate { 600 } else { 100 };
        let mut link_at_ms = vacancy.found_ms.max(self.world.now.steady_ms) + 200;
        for machine in &mut self.machines {
            machine.link_at_ms = link_at_ms;
            link_at_ms += apart_ms;
        }
    }

    /// Lets a tenth of a second pass.
    fn step(&mut self) {
        if self.vacancy.is_some() {
            self.world.now.steady_ms += STEP_MS;
            self.world.now.wall_ms += STEP_MS;
        } else {
            self.world.pass(STEP_MS);
        }
        let now_ms = self.world.now.steady_ms;
        while let Some(next) = self.agenda.iter().position(|(at_ms, _, _)| *at_ms <= now_ms) {
            let (_, at, act) = self.agenda.remove(next);
            self.act(at, act);
        }
        let store = self.world.store_confirms;
        if let Some(vacancy) = self.vacancy.take_if(|v| store && v.until_ms <= now_ms) {
            self.take_over(&vacancy);
        }
        self.ask_silent();
        for at in 0..self.machines.len() {
            self.stop_agent(at);
            self.lapse(at);
            self.hear(at);
            self.link(at);
            self.tell(at);
        }
        self.carry_out();
        self.settle_departures();
        self.check();
    }

    /// The coordinator asks those that fell silent whether their terms have ended.
    fn ask_silent(&mut self) {
        let now = self.world.now;
        if self.vacancy.is_some() || now.steady_ms < self.ask_ms {
            return;
        }
        self.ask_ms = now.steady_ms + DOUBT_MS;
        for number in self.back.iter().copied().collect::<Vec<_>>() {
            let at = address(number);
            if self.world.coordinator.inheritance(now).silent.contains_key(&at) {
                self.world.coordinator.predecessor_ended(at, now);
            }
        }
    }

    /// A minion ends what it holds no longer.
    fn lapse(&mut self, at: usize) {
        let now_ms = self.world.now.steady_ms;
        let Some(minion) = &mut self.machines[at].minion else { return };
        if minion.hold_ms == 0 || minion.hold_ms > now_ms {
            return;
        }
        minion.hold_ms = 0;
        let id = minion.id.clone();
        let runs = self.world.running.get(&id).cloned().unwrap_or_default();
        for (task, run) in runs {
            minion.barred.insert(task, run);
            self.world.end(&id, task, EndKind::Lapsed);
            let at_ms = now_ms - self.begun_ms;
            let line = format!("{:5.1} {task} lapses at {id}", at_ms as f64 / 1_000.0);
            self.report.trace.push(line);
        }
    }

    /// The agent hears its minion: heartbeats, looks and farewells.
    fn hear(&mut self, at: usize) {
        let now_ms = self.world.now.steady_ms;
        let machine = &mut self.machines[at];
        if !machine.agent_up {
            return;
        }
        if let Some((_, id)) = machine.leaving.take_if(|(at_ms, _)| *at_ms <= now_ms) {
            self.left(at, &id);
        }
        let machine = &mut self.machines[at];
        let phase_ms = 100 * at as u64;
        let Some(minion) = &mut machine.minion else { return };
        if (now_ms + phase_ms).is_multiple_of(LOOK_MS) {
            if machine.present.as_ref() != Some(&minion.id) {
                machine.present = Some(minion.id.clone());
                machine.told_draining = minion.draining;
                machine.told_milli_cpus = machine.milli_cpus;
                machine.answered_ms = now_ms;
                self.tell_minion(at);
                self.beat(at);
            }
            self.look(at);
        }
        let machine = &mut self.machines[at];
        let Some(minion) = &machine.minion else { return };
        let news = machine.told_draining != minion.draining
            || machine.told_milli_cpus != machine.milli_cpus;
        if machine.present.as_ref() == Some(&minion.id) && news {
            machine.told_draining = minion.draining;
            machine.told_milli_cpus = machine.milli_cpus;
            self.tell_minion(at);
        }
    }

    /// The agent learns that an incarnation is gone, and says so if it can.
    fn gone(&mut self, at: usize, id: &Name) {
        let machine = &mut self.machines[at];
        if machine.present.as_ref() == Some(id) {
            self.left(at, id);
        }
    }

    /// The agent keeps a departure in mind, and says so if it can.
    fn left(&mut self, at: usize, id: &Name) {
        let machine = &mut self.machines[at];
        machine.present.take_if(|present| present == id);
        machine.departures.gone(id);
        let reaches = self.reaches(at);
        self.trace(format!("agent finds {id} gone, heard by the coordinator: {reaches}"));
        self.say(at, FromAgent::MinionGone { minion: id.clone() });
    }

    fn look(&mut self, at: usize) {
        let now_ms = self.world.now.steady_ms;
        let machine = &mut self.machines[at];
        let lease_ms = machine.lease_ms;
        let Some(minion) = &mut machine.minion else { return };
        machine.answered_ms = now_ms;
        if lease_ms > now_ms {
            minion.hold_ms = minion.hold_ms.max(lease_ms);
        }
        let id = minion.id.clone();
        if self.reaches(at) {
            self.world.look(&id);
        }
    }

    fn reaches(&self, at: usize) -> bool {
        let machine = &self.machines[at];
        machine.linked && machine.path_open && self.vacancy.is_none()
    }

    fn say(&mut self, at: usize, message: FromAgent) {
        if self.reaches(at) {
            let name = self.machines[at].name.clone();
            self.world.say(&name, message);
        }
        self.settle_departures();
    }

    /// Agents forget the departures that the records hold.
    fn settle_departures(&mut self) {
        for minion in std::mem::take(&mut self.world.settled) {
            if let Some(at) = self.machine_of(&minion).filter(|at| self.reaches(*at)) {
                self.machines[at].departures.forget(&minion);
            }
        }
    }

    fn tell_minion(&mut self, at: usize) {
        if self.reaches(at)
            && let Some(info) = self.machines[at].info()
        {
            self.say(at, FromAgent::Minion(info));
        }
    }

    /// The agent opens a link, if it has none.
    fn link(&mut self, at: usize) {
        let now_ms = self.world.now.steady_ms;
        let bound = self.cut_off.as_ref().is_some_and(|(_, agent)| *agent == at);
        let machine = &mut self.machines[at];
        let may = machine.agent_up && machine.path_open && self.vacancy.is_none() && !bound;
        if machine.linked || !may || now_ms < machine.link_at_ms {
            return;
        }
        let name = agent(&machine.name);
        if std::mem::replace(&mut machine.known_linked, true) {
            self.world.coordinator.agent_lost(&name, self.world.now);
        }
        self.machines[at].linked = true;
        self.say(at, FromAgent::Hello { agent: name });
        for minion in self.machines[at].departures.unsettled().cloned().collect::<Vec<_>>() {
            self.say(at, FromAgent::MinionGone { minion });
        }
        self.tell_minion(at);
        self.beat(at);
    }

    /// The agent beats when it is time.
    fn tell(&mut self, at: usize) {
        if (self.world.now.steady_ms + 100 * at as u64).is_multiple_of(BEAT_MS) {
            self.beat(at);
        }
    }

    fn beat(&mut self, at: usize) {
        let now = self.world.now;
        let machine = &mut self.machines[at];
        if !machine.agent_up {
            return;
        }
        let answers = now.steady_ms < machine.answered_ms + ANSWERED_MS;
        let minion_ok = machine.present.is_some() && answers;
        let beat = FromAgent::Beat { sent_at_ms: now.steady_ms, minion_ok };
        if let Some((coordinator, _)) = self.cut_off.as_mut().filter(|(_, agent)| *agent == at) {
            coordinator.from_agent(&agent(&machine.name), beat, now);
            for effect in coordinator.take_effects(now) {
                if let Effect::Tell { message: ToAgent::Lease { hold_ms, .. }, .. } = effect
                    && hold_ms > 0
                {
                    machine.lease_ms = machine.lease_ms.max(now.steady_ms + hold_ms);
                }
            }
            return;
        }
        self.say(at, beat);
        for (name, sent_at_ms, hold_ms) in std::mem::take(&mut self.world.leases) {
            let machine = self.machines.iter_mut().find(|machine| agent(&machine.name) == name);
            if let Some(machine) = machine.filter(|_| hold_ms > 0) {
                machine.lease_ms = machine.lease_ms.max(sent_at_ms + hold_ms);
            }
        }
    }

    /// Agents pass orders on, and minions carry them out.
    fn carry_out(&mut self) {
        let now_ms = self.world.now.steady_ms;
        while let Some(next) = self.late.iter().position(|(at_ms, _)| *at_ms <= now_ms) {
            let (_, order) = self.late.remove(next);
            self.obey(&order);
        }
        while let Some(next) = self.unanswered.iter().position(|(at_ms, _)| *at_ms <= now_ms) {
            let (_, order) = self.unanswered.remove(next);
            self.answer(&order, OrderOutcome::Unanswered);
        }
        // What is decided on these results is carried out a step later, as after a round trip.
        for order in std::mem::take(&mut self.world.orders) {
            let Some(at) = self.machine_of(&order.minion) else { continue };
            if !self.reaches(at) {
                continue;
            }
            let machine = &self.machines[at];
            let starts = OrderVerb::from(&order.kind) == OrderVerb::Start;
            let draining = machine.present.as_ref() == Some(&order.minion) && machine.told_draining;
            if starts && (draining || machine.lease_ms <= now_ms) {
                self.answer(&order, OrderOutcome::NotSent);
            } else if self.late_orders {
                self.late.push((now_ms + LATE_MS, order.clone()));
                self.unanswered.push((now_ms + ORDER_MS, order));
            } else if machine.minion.is_none() {
                self.unanswered.push((now_ms + ORDER_MS, order));
            } else if machine.lives(&order.minion) {
                let outcome = self.obey(&order);
                self.answer(&order, outcome);
            } else {
                self.gone(at, &order.minion);
                self.answer(&order, OrderOutcome::Gone);
            }
        }
    }

    fn answer(&mut self, order: &Order, outcome: OrderOutcome) {
        let Some(at) = self.machine_of(&order.minion) else { return };
        if self.reaches(at) {
            self.world.result(order, OrderVerb::from(&order.kind), outcome);
        }
    }

    fn machine_of(&self, minion: &Name) -> Option<usize> {
        self.machines.iter().position(|machine| agent(&machine.name) == agent(minion))
    }

    fn obey(&mut self, order: &Order) -> OrderOutcome {
        let Some(at) = self.machine_of(&order.minion) else { return OrderOutcome::Gone };
        let used = self.used(at);
        let machine = &mut self.machines[at];
        let (capacity, lease_ms) = (machine.milli_cpus, machine.lease_ms);
        let Some(minion) = machine.minion.as_mut().filter(|minion| minion.id == order.minion)
        else {
            return OrderOutcome::Gone;
        };
        let barred = minion.barred.entry(order.task).or_default();
        let runs = self.world.running.entry(order.minion.clone()).or_default();
        match order.kind {
            OrderKind::Start { .. } if order.run <= *barred => return OrderOutcome::RunIsOver,
            OrderKind::Start { .. } if runs.contains_key(&order.task) => {}
            OrderKind::Start { .. } if used + demand(order.task) > capacity => {
                return OrderOutcome::NoRoom;
            }
            OrderKind::Start { .. } if lease_ms <= self.world.now.steady_ms => {
                return OrderOutcome::TooLate;
            }
            OrderKind::Start { .. } => {
                minion.hold_ms = minion.hold_ms.max(lease_ms);
                runs.insert(order.task, order.run);
            }
            OrderKind::Stop => {
                *barred = order.run.max(*barred);
                if runs.get(&order.task).is_some_and(|run| *run <= order.run) {
                    self.world.end(&order.minion, order.task, EndKind::Stopped);
                    self.look(at);
                }
            }
            OrderKind::Pace { .. } => {}
        }
        OrderOutcome::Done
    }

    /// Checks that no task runs twice, and for how long each is down.
    fn check(&mut self) {
        let now_ms = self.world.now.steady_ms;
        for at in self.noted..self.world.notes.len() {
            let line = self.world.notes[at].clone();
            self.trace(line);
        }
        self.noted = self.world.notes.len();
        let mut at_work: BTreeMap<TaskId, Name> = BTreeMap::new();
        let places = self.world.places();
        for (task, minion, run) in places {
            if let Some(at) = self.machine_of(&minion) {
                self.last_place.insert(task, at);
            }
            if let Some(other) = at_work.insert(task, minion.clone()) {
                let line = format!("{task} runs on {minion} as run {run} and on {other}");
                self.trace(line.clone());
                self.report.twice.get_or_insert(line);
            }
        }
        if !self.has_room() {
            self.room_ms = None;
        } else if self.room_ms.is_none() {
            self.room_ms = Some(now_ms);
        }
        let watched = self.last_place.keys().copied().filter(|task| task.job == JobId(1));
        for task in watched.collect::<Vec<_>>() {
            if at_work.contains_key(&task) {
                if let Some(since_ms) = self.down.remove(&task) {
                    self.trace(format!("{task} at work, down for {} ms", now_ms - since_ms));
                }
                continue;
            }
            let since_ms = *self.down.entry(task).or_insert(now_ms);
            let Some(room_ms) = self.room_ms else { continue };
            let begun = self.troubles.iter().filter(|(begin_ms, _)| *begin_ms <= now_ms);
            let calm_ms = begun.map(|(_, end_ms)| end_ms + AFTER_TROUBLE_MS).max().unwrap_or(0);
            let limit_ms = (since_ms.max(room_ms) + AT_WORK_MS).max(calm_ms) + STEP_MS;
            if now_ms > limit_ms {
                let late_ms = now_ms - limit_ms;
                if self.report.late.is_none_or(|(most_ms, _, _)| late_ms > most_ms) {
                    self.report.late = Some((late_ms, task, now_ms - since_ms));
                }
            }
        }
    }

    /// Returns whether some machine that can be reached has room for one more task.
    fn has_room(&self) -> bool {
        (0..self.machines.len()).any(|at| {
            let machine = &self.machines[at];
            let stays = machine.minion.as_ref().is_some_and(|minion| !minion.draining);
            let bound = self.cut_off.as_ref().is_some_and(|(_, agent)| *agent == at);
            let reachable = machine.agent_up && machine.path_open && !bound;
            stays && reachable && self.used(at) + 1_000 <= machine.milli_cpus
        })
    }

    /// Returns whether the store holds a step where a task that was never placed stands before one
    /// that was.
    fn skips_some(&self) -> bool {
        self.world.store.values().any(|record| {
            let record = JobRecord::decode(record).expect("this version wrote it");
            let steps = record.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
            steps.into_iter().any(|tasks| {
                let placed = |task: &geraniumpost_batch::TaskRecord| task.run > 0;
                tasks.iter().rposition(placed) > tasks.iter().position(|t| !placed(t))
                    && !tasks.iter().all(placed)
            })
        })
    }
}

/// Returns where the coordinator was that was lost as the so-manieth.
fn address(number: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number as u16))
}

/// Returns what a task takes.
fn demand(task: TaskId) -> i64 {
    if task.job == JobId(1) { 1_000 } else { LARGE_MILLI_CPUS }
}
