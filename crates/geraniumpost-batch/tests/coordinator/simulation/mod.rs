//! A simulated deployment: four machines with an agent and a minion each, entries that take over
//! from each other, and a clock.
//!
//! A test lists what happens and when ([`Event`]). [`Simulation::run`] advances the clock in small
//! steps until nothing is pending, and returns what users would have noticed ([`Report`]). Each
//! step has the same order: due actions of events, a due takeover, each machine in turn, then
//! orders, then the check of the guarantees.
//!
//! Agents behave like `batch/agent` of the `geraniumpost` crate: they send a heartbeat each half
//! second, poll each 0.4 s, report only over an open link, and report the present minion and
//! unsettled departures over a new link.
//!
//! The coordinator is the real one, and so are the predecessor leases that it leaves to its
//! successor ([`PredecessorLeases`](geraniumpost_batch::PredecessorLeases)), the departures that
//! agents keep ([`Departures`](geraniumpost_batch::Departures)), and the support of entries
//! ([`quorum`](geraniumpost_batch::quorum)). The behaviour of the processes around them is modelled
//! here and must be kept in line with them: when an entry takes over and which predecessors it
//! queries (`Candidate`, `await_predecessor`), when the key names the voters and how they are
//! queried (`Writer`, `Asker`), what an agent reports to whom (`State`), and that a coordinator
//! does not notice a dead link that was not closed (`Doorway::pass_on`).

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

/// One step of the clock, in milliseconds, which is also the interval between ticks of the
/// coordinator.
const STEP_MS: u64 = 100;
/// Longest time that a simulation runs after its last event.
const SETTLE_TIMEOUT_MS: u64 = 32_000;
/// A simulation ends when nothing was pending for this time.
const IDLE_MS: u64 = 1_000;

/// A simulated deployment. Machines are referred to by their index in `machines`.
pub struct Simulation {
    /// The coordinator, its store, and the runs on minions.
    cluster: Cluster,
    machines: Vec<Machine>,
    started_ms: u64,
    /// Pending actions of events: the time, the machine and the action.
    scheduled_actions: Vec<(u64, usize, Action)>,
    entries: Entries,
    succession: Succession,
    orders: OrdersInFlight,
    checker: RecoveryChecker,
}

impl Simulation {
    /// Returns a simulation of four machines that run a persistent step of six tasks. If it is
    /// crowded, each machine also runs a large persistent task, and a fifth one is waiting for
    /// capacity.
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

    /// Runs a list of events, each given with its delay in milliseconds after the one before, and
    /// then what follows from them.
    ///
    /// Events at a machine happen where the checked task with the given index ran last.
    pub fn run(mut self, events: &[(u64, Event, u32)]) -> Report {
        for (gap_ms, event, index) in events {
            self.advance_until(self.elapsed_ms() + gap_ms);
            self.schedule_event(*event, *index);
        }
        self.run_until_idle();
        self.into_report()
    }

    /// Returns the time since the simulation started.
    const fn elapsed_ms(&self) -> u64 {
        self.cluster.now.steady_ms - self.started_ms
    }

    /// Adds a line with the time to the report.
    fn trace(&mut self, line: &str) {
        let at_s = self.elapsed_ms() as f64 / 1_000.0;
        self.checker.trace(format!("{at_s:5.1} {line}"));
    }

    fn advance_until(&mut self, until_ms: u64) {
        while self.elapsed_ms() < until_ms {
            self.run_step();
        }
    }

    /// Advances until nothing is pending, at most until the time-out.
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

    /// Advances by one step.
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

    /// Advances the clock, and ticks the coordinator if there is one.
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
