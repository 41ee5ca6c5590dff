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
//! ([`Inheritance`](geraniumpost_batch::Inheritance)) and what agents keep of departures
//! ([`Departures`](geraniumpost_batch::Departures)), and whom entries support
//! ([`quorum`](geraniumpost_batch::quorum)). What the shell around them does is copied here,
//! and must follow it: when an entry takes over and whom it asks for a word (`Candidate`,
//! `await_predecessor`), when the key names the voters and how they are asked (`Writer`, `Asker`), what an agent says to whom (`State`), and that a coordinator does not notice a
//! link that dies without a word (`Doorway::pass_on`).

mod action;
mod agents;
mod coordinator_loss;
mod entries;
mod event;
mod fault_injection;
mod incarnation;
mod machine;
mod minions;
mod orders;
mod polling;
mod recovery_check;
mod report;
mod succession;
mod workload;

pub use event::Event;
pub use report::Report;

use action::Action;
use entries::Entries;
use machine::Machine;
use orders::OrdersInFlight;
use recovery_check::RecoveryChecker;
use succession::Succession;

use crate::cluster::Cluster;

/// One step of the clock, in milliseconds; ticks of the coordinator are that far apart.
const STEP_MS: u64 = 100;
/// When a day ends at the latest, after its last event.
const SETTLE_TIMEOUT_MS: u64 = 32_000;
/// A day is over when nothing was under way for so long.
const IDLE_MS: u64 = 1_000;

/// Everything that a day is played on. A machine is meant by its place in `machines`.
pub struct Simulation {
    /// The coordinator, its store, and what runs on minions.
    cluster: Cluster,
    machines: Vec<Machine>,
    started_ms: u64,
    /// What events still bring: when, at which machine, and what.
    scheduled_actions: Vec<(u64, usize, Action)>,
    entries: Entries,
    succession: Succession,
    orders: OrdersInFlight,
    checker: RecoveryChecker,
}

impl Simulation {
    /// Returns a site of four machines where a standing step of six tasks is at work. If it is
    /// crowded, each machine also runs a large standing task, and one more has never run for lack of
    /// room.
    pub fn new(crowded: bool) -> Self {
        let mut cluster = Cluster::new();
        cluster.automatic_heartbeats = false;
        cluster.entries_support = false;
        let started_ms = cluster.now.steady_ms;
        let entries = Entries::new(cluster.now);
        let mut simulation = Self {
            cluster,
            entries,
            machines: ["m1", "m2", "m3", "m4"].map(Machine::new).into(),
            started_ms,
            scheduled_actions: Vec::new(),
            succession: Succession::default(),
            orders: OrdersInFlight::default(),
            checker: RecoveryChecker::default(),
        };
        simulation.start_workload(crowded);
        simulation
    }

    /// Plays events, each so many milliseconds after the one before, and what follows from them.
    ///
    /// An event that means a machine means the one where the task of its index ran last.
    pub fn run(mut self, events: &[(u64, Event, u32)]) -> Report {
        for (gap_ms, event, index) in events {
            self.advance_until(self.elapsed_ms() + gap_ms);
            self.schedule_event(*event, *index);
        }
        self.run_until_idle();
        self.into_report()
    }

    /// Returns the time since the site's beginning.
    const fn elapsed_ms(&self) -> u64 {
        self.cluster.now.steady_ms - self.started_ms
    }

    /// Adds a line to the report, with the time.
    fn trace(&mut self, line: &str) {
        let at_s = self.elapsed_ms() as f64 / 1_000.0;
        self.checker.trace(format!("{at_s:5.1} {line}"));
    }

    fn advance_until(&mut self, until_ms: u64) {
        while self.elapsed_ms() < until_ms {
            self.run_step();
        }
    }

    /// Lets time pass until nothing is under way any more, or the day is over.
    fn run_until_idle(&mut self) {
        let until_ms = self.elapsed_ms() + SETTLE_TIMEOUT_MS;
        let mut idle_ms = 0;
        while self.elapsed_ms() < until_ms && idle_ms < IDLE_MS {
            self.run_step();
            idle_ms = if self.is_idle() { idle_ms + STEP_MS } else { 0 };
        }
    }

    fn is_idle(&self) -> bool {
        self.scheduled_actions.is_empty()
            && !self.succession.is_vacant()
            && self.checker.all_running()
            && self.machines.iter().all(Machine::is_stable)
    }

    /// Lets a tenth of a second pass.
    fn run_step(&mut self) {
        self.advance_clock();
        self.run_due_actions();
        self.take_over_if_due();
        self.query_predecessors();
        for at in 0..self.machines.len() {
            self.finish_agent_stop(at);
            self.expire_minion_lease(at);
            self.observe_minion(at);
            self.link_agent(at);
            self.heartbeat_if_due(at);
        }
        self.deliver_orders();
        self.settle_departures();
        self.check_guarantees();
    }

    /// Moves the clock; a coordinator decides on that only while there is one.
    fn advance_clock(&mut self) {
        self.support_coordinator();
        if self.succession.is_vacant() {
            self.cluster.now.steady_ms += STEP_MS;
            self.cluster.now.wall_ms += STEP_MS;
        } else {
            self.cluster.advance(STEP_MS);
        }
    }
}
