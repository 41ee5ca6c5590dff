//! Simulation of a deployment: four machines with an agent and a minion each, five entries of which
//! one coordinates, and a clock.
//!
//! A test lists events and the times between them ([`Event`]). [`Simulation::run`] advances the
//! clock in steps until nothing is pending, and returns violations of the guarantees ([`Report`]).
//! Each step has the same order: due actions of events, a due takeover, queries to predecessors,
//! each machine in turn, orders, and the check of the guarantees.
//!
//! Agents behave like `batch/agent` of the `geraniumpost` crate: they send a heartbeat every 0.5 s,
//! poll every 0.4 s, report only over an open link, and report the present minion and unsettled
//! departures over a new link.
//!
//! The simulation uses the production code of the coordinator, of the leases that it records for
//! its successor ([`PredecessorLeases`](geraniumpost_batch::PredecessorLeases)), of the departures
//! that agents hold ([`Departures`](geraniumpost_batch::Departures)), and of the support of entries
//! ([`quorum`](geraniumpost_batch::quorum)). The processes around them are modelled here. The model
//! must match these modules of the `geraniumpost` crate:
//!
//! - `batch/coordination/candidate.rs`: when an entry takes over;
//! - `batch/coordination/term.rs`: which predecessors a coordinator queries;
//! - `batch/coordination/coordinator_key.rs`: when the coordinator's store key names the voters;
//! - `batch/coordination/release_requester.rs`: how the voters of a silent coordinator are queried;
//! - `batch/coordination/peer_listener.rs`: that dead links are detected only when they close;
//! - `batch/agent/state.rs`: what an agent reports.

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

/// Time by which the clock advances in each step, in milliseconds. The coordinator ticks once per
/// step.
const STEP_MS: u64 = 100;
/// Maximum time that a simulation runs after its last event, in milliseconds.
const SETTLE_TIMEOUT_MS: u64 = 32_000;
/// Time without pending work after which a simulation ends, in milliseconds.
const REQUIRED_IDLE_MS: u64 = 1_000;

/// A simulated deployment. Methods refer to machines by their index in `machines`, called `at`.
pub struct Simulation {
    /// The coordinator, its store, the runs on minions, and the clock.
    cluster: Cluster,
    machines: Vec<Machine>,
    /// Start of the simulation, on the monotonic clock.
    started_ms: u64,
    /// Pending actions of events: the time, the index of the machine, and the action.
    scheduled_actions: Vec<(u64, usize, Action)>,
    entries: Entries,
    succession: Succession,
    orders: OrdersInFlight,
    checker: RecoveryChecker,
}

impl Simulation {
    /// Returns a simulation of four machines that run a persistent step of six tasks. If `crowded`
    /// is set, each machine also runs a large persistent task, and a fifth large task waits for
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

    /// Runs the simulation with a list of events until nothing is pending.
    ///
    /// Each event has a delay after the previous event, in milliseconds, and the index of a checked
    /// task, which selects the machine of the event: the one on which the task ran last.
    pub fn run(mut self, events: &[(u64, Event, u32)]) -> Report {
        for (gap_ms, event, index) in events {
            self.advance_until(self.elapsed_ms() + gap_ms);
            self.schedule_event(*event, *index);
        }
        self.run_until_idle();
        self.into_report()
    }

    /// Returns the time since the start of the simulation, in milliseconds.
    const fn elapsed_ms(&self) -> u64 {
        self.cluster.now.steady_ms - self.started_ms
    }

    /// Adds a line to the trace in the report, preceded by the time in seconds.
    fn trace(&mut self, line: &str) {
        let at_s = self.elapsed_ms() as f64 / 1_000.0;
        self.checker.trace(format!("{at_s:5.1} {line}"));
    }

    fn advance_until(&mut self, until_ms: u64) {
        while self.elapsed_ms() < until_ms {
            self.run_step();
        }
    }

    /// Advances until nothing is pending for `REQUIRED_IDLE_MS`, at most by `SETTLE_TIMEOUT_MS`.
    fn run_until_idle(&mut self) {
        let until_ms = self.elapsed_ms() + SETTLE_TIMEOUT_MS;
        let mut idle_ms = 0;
        while self.elapsed_ms() < until_ms && idle_ms < REQUIRED_IDLE_MS {
            self.run_step();
            idle_ms = if self.is_idle() { idle_ms + STEP_MS } else { 0 };
        }
    }

    fn is_idle(&self) -> bool {
        self.scheduled_actions.is_empty()
            && !self.succession.is_vacant()
            && self.checker.is_every_task_running()
            && self.machines.iter().all(Machine::is_stable)
    }

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
