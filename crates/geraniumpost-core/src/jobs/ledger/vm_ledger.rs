use std::collections::BTreeMap;

use geraniumpost_schema::{Inventory, Name, Resources, TaskReport, TaskState};

use super::{
    Adoption, AgentLease, LedgerAction, LedgerConfig, LedgerCounters, LedgerEvent, Phase, Task,
};
use crate::{
    Millis,
    placement::amounts::{self, fits, minus, plus},
};

/// Tracks which tasks run on an agent's VM and which resources are free.
///
/// The ledger alone decides whether a task may start. For a start order of a planner, it allocates
/// the resources before the worker is called, and refuses the order if the resources are not free.
/// No race between planners, entries or restarts can therefore overcommit the VM.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, jobs::{LedgerAction, LedgerConfig, LedgerEvent, VmLedger}};
/// use geraniumpost_schema::Resources;
/// let capacity = Resources { milli_cpus: 64_000, memory_mb: 250_000, accelerators: 0 };
/// let mut ledger = VmLedger::new(7, capacity, LedgerConfig::default());
/// let actions = ledger.handle(LedgerEvent::Tick, Millis(0));
/// assert_eq!(actions, [LedgerAction::List], "a new agent first lists the worker's tasks");
/// ```
#[derive(Debug, Clone)]
pub struct VmLedger {
    pub(super) incarnation: u64,
    pub(super) capacity: Resources,
    pub(super) reserve: Resources,
    pub(super) config: LedgerConfig,
    pub(super) term: u64,
    pub(super) lease: AgentLease,
    pub(super) adoption: Adoption,
    pub(super) inventory_requested: bool,
    pub(super) draining: bool,
    pub(super) last_list: Option<Millis>,
    pub(super) last_size_request: Millis,
    pub(super) tasks: BTreeMap<Name, Task>,
    pub(super) known_epochs: BTreeMap<Name, (u64, Millis)>,
    pub(super) counters: LedgerCounters,
}

impl VmLedger {
    /// Creates the ledger of an agent process that has just started.
    pub fn new(incarnation: u64, capacity: Resources, config: LedgerConfig) -> Self {
        Self {
            incarnation,
            capacity,
            reserve: Resources::default(),
            config,
            term: 0,
            lease: AgentLease::default(),
            adoption: Adoption::NotStarted,
            inventory_requested: false,
            draining: false,
            last_list: None,
            last_size_request: Millis(0),
            tasks: BTreeMap::new(),
            known_epochs: BTreeMap::new(),
            counters: LedgerCounters::default(),
        }
    }

    /// Handles an event and returns the resulting actions in order.
    pub fn handle(&mut self, event: LedgerEvent, now: Millis) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        match event {
            LedgerEvent::HeartbeatSent(sequence) => self.lease.record_sent(sequence, now),
            LedgerEvent::Ack(ack) => self.on_ack(&ack),
            LedgerEvent::Start(start) => self.on_start(start, now, &mut actions),
            LedgerEvent::Evict(task) => self.on_evict(&task, now, &mut actions),
            LedgerEvent::Stop(task) => self.on_stop(&task, now, &mut actions),
            LedgerEvent::Throttle(order) => self.on_throttle(&order, &mut actions),
            LedgerEvent::Settled(task) => self.on_settled(&task, &mut actions),
            LedgerEvent::Supersede(term) => self.on_new_term(term, &mut actions),
            LedgerEvent::Drain => self.draining = true,
            LedgerEvent::Reserve(reserve) => self.reserve = reserve,
            LedgerEvent::Tick => self.on_tick(now, &mut actions),
            response => self.on_worker_response(response, now, &mut actions),
        }
        actions
    }

    /// Returns whether tasks may be started and renewed at `now`.
    pub fn may_run(&self, now: Millis) -> bool {
        self.lease.is_valid(now)
    }

    /// Returns the highest planner term received, 0 if none was received.
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Returns the resources of the VM that are available to batch tasks in total.
    pub const fn allocatable(&self) -> Resources {
        minus(&self.capacity, &self.reserve)
    }

    /// Returns the sum of the resources allocated to tasks that have not ended.
    pub fn reserved(&self) -> Resources {
        self.tasks.values().fold(amounts::NONE, |sum, task| plus(&sum, &task.reserved_size()))
    }

    /// Returns the number of tasks that may still use resources of the VM.
    pub fn live_tasks(&self) -> usize {
        self.tasks.values().filter(|task| task.phase.is_live()).count()
    }

    /// Returns whether the adoption of the worker's tasks is complete.
    pub fn is_adoption_complete(&self) -> bool {
        self.adoption == Adoption::Complete
    }

    /// Returns the event counts since the agent process started.
    pub const fn counters(&self) -> LedgerCounters {
        self.counters
    }

    /// Returns a report of every run, including ended runs that the planner has not settled.
    pub fn reports(&self) -> Vec<TaskReport> {
        self.tasks.values().map(Task::report).collect()
    }

    pub(super) fn inventory_action(&self) -> LedgerAction {
        LedgerAction::Inventory(Inventory {
            incarnation: self.incarnation,
            term: self.term,
            tasks: self.reports(),
        })
    }

    /// Returns whether the declared size of a live task is unknown, as after an adoption.
    ///
    /// The worker's list contains only the measured usage, which lags and may be far below the
    /// declared size. A new task that fits in addition to that usage could overcommit the VM
    /// shortly afterwards.
    pub(super) fn has_task_without_size(&self) -> bool {
        self.tasks.values().any(|task| task.phase.is_live() && task.need.is_none())
    }

    /// Returns the time at which the agent lease expires, for a check immediately before a call to
    /// the worker.
    pub const fn lease_until(&self) -> Millis {
        self.lease.until()
    }

    pub(super) fn has_capacity(&self, need: Resources) -> bool {
        fits(&need, &minus(&self.allocatable(), &self.reserved()))
    }

    /// Records `term` unless a higher term was received, and returns whether orders of `term` are
    /// accepted.
    pub(super) fn accept_term(&mut self, term: u64) -> bool {
        if term < self.term {
            self.counters.stale_terms += 1;
            return false;
        }
        self.term = term;
        true
    }

    pub(super) fn record_epoch(&mut self, job: &Name, epoch: u64, now: Millis) {
        let known = self.known_epochs.entry(job.clone()).or_insert((epoch, now));
        *known = (known.0.max(epoch), now);
    }

    /// Moves a task to its final state and reports it.
    pub(super) fn end_task(
        &mut self,
        job: &Name,
        state: TaskState,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(task) = self.tasks.get_mut(job) else { return };
        task.enter_phase(Phase::Ended(state), now);
        task.last_report = now;
        actions.push(LedgerAction::Report(task.report()));
    }
}
