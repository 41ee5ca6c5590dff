//! A site to play bad days on: four machines with an agent and a minion each, entries that take over
//! from each other, and a clock.
//!
//! A test says what happens and when ([`Event`]); [`Site::play`] lets time pass in small steps until
//! nothing follows from it any more, and returns what users would have seen ([`Report`]). Each step
//! has the same order: what the events bring, a successor if one is due, each machine in turn, then
//! orders, then the check of what is promised.
//!
//! Agents do what `geraniumpost`'s `batch/agent` does: they beat each half second, look each 0.4 s,
//! tell what happens only over an open link, and tell a new link of the present minion and of departures
//! that are not settled.
//!
//! The coordinator is the real one, and so is what it leaves to its successor
//! ([`PredecessorLeases`](geraniumpost_batch::PredecessorLeases)) and what agents keep of departures
//! ([`Departures`](geraniumpost_batch::Departures)), and whom entries support
//! ([`quorum`](geraniumpost_batch::quorum)). What the shell around them does is copied here,
//! and must follow it: when an entry takes over and whom it asks for a word (`Candidate`,
//! `await_predecessor`), when the key names the voters and how they are asked (`Writer`, `Asker`), what an agent says to whom (`State`), and that a coordinator does not notice a
//! link that dies without a word (`Doorway::pass_on`).

mod act;
mod agents;
mod entries;
mod event;
mod hearing;
mod incarnation;
mod loss;
mod machine;
mod minions;
mod orders;
mod promise;
mod report;
mod succession;
mod tasks;
mod troubles;

pub use event::Event;
pub use report::Report;

use act::Act;
use entries::Entries;
use machine::Machine;
use orders::OrdersUnderWay;
use promise::Watch;
use succession::Succession;

use crate::world::World;

/// One step of the clock, in milliseconds; ticks of the coordinator are that far apart.
const STEP_MS: u64 = 100;
/// When a day ends at the latest, after its last event.
const LONGEST_MS: u64 = 32_000;
/// A day is over when nothing was under way for so long.
const CALM_MS: u64 = 1_000;

/// Everything that a day is played on. A machine is meant by its place in `machines`.
pub struct Site {
    /// The coordinator, its store, and what runs on minions.
    world: World,
    machines: Vec<Machine>,
    begun_ms: u64,
    /// What events still bring: when, at which machine, and what.
    agenda: Vec<(u64, usize, Act)>,
    entries: Entries,
    succession: Succession,
    orders: OrdersUnderWay,
    watch: Watch,
}

impl Site {
    /// Returns a site of four machines where a standing step of six tasks is at work. If it is
    /// crowded, each machine also runs a large standing task, and one more has never run for lack of
    /// room.
    pub fn new(crowded: bool) -> Self {
        let mut world = World::new();
        world.beats_by_itself = false;
        world.entries_support = false;
        let begun_ms = world.now.steady_ms;
        let entries = Entries::new(world.now);
        let mut site = Self {
            world,
            entries,
            machines: ["m1", "m2", "m3", "m4"].map(Machine::new).into(),
            begun_ms,
            agenda: Vec::new(),
            succession: Succession::default(),
            orders: OrdersUnderWay::default(),
            watch: Watch::default(),
        };
        site.set_to_work(crowded);
        site
    }

    /// Plays events, each so many milliseconds after the one before, and what follows from them.
    ///
    /// An event that means a machine means the one where the task of its index ran last.
    pub fn play(mut self, events: &[(u64, Event, u32)]) -> Report {
        for (gap_ms, event, index) in events {
            self.pass_until(self.at_ms() + gap_ms);
            self.begin(*event, *index);
        }
        self.calm_down();
        self.into_report()
    }

    /// Returns the time since the site's beginning.
    const fn at_ms(&self) -> u64 {
        self.world.now.steady_ms - self.begun_ms
    }

    /// Adds a line to the report, with the time.
    fn trace(&mut self, line: &str) {
        let at_s = self.at_ms() as f64 / 1_000.0;
        self.watch.trace(format!("{at_s:5.1} {line}"));
    }

    fn pass_until(&mut self, until_ms: u64) {
        while self.at_ms() < until_ms {
            self.step();
        }
    }

    /// Lets time pass until nothing is under way any more, or the day is over.
    fn calm_down(&mut self) {
        let until_ms = self.at_ms() + LONGEST_MS;
        let mut calm_ms = 0;
        while self.at_ms() < until_ms && calm_ms < CALM_MS {
            self.step();
            calm_ms = if self.is_calm() { calm_ms + STEP_MS } else { 0 };
        }
    }

    fn is_calm(&self) -> bool {
        self.agenda.is_empty()
            && !self.succession.is_vacant()
            && self.watch.all_at_work()
            && self.machines.iter().all(Machine::is_settled)
    }

    /// Lets a tenth of a second pass.
    fn step(&mut self) {
        self.pass_step();
        self.act_on_agenda();
        self.take_over_if_due();
        self.ask_silent();
        for at in 0..self.machines.len() {
            self.stop_agent(at);
            self.lapse(at);
            self.hear(at);
            self.link(at);
            self.beat_if_due(at);
        }
        self.carry_out();
        self.settle_departures();
        self.check();
    }

    /// Moves the clock; a coordinator decides on that only while there is one.
    fn pass_step(&mut self) {
        self.support_coordinator();
        if self.succession.is_vacant() {
            self.world.now.steady_ms += STEP_MS;
            self.world.now.wall_ms += STEP_MS;
        } else {
            self.world.pass(STEP_MS);
        }
    }
}
