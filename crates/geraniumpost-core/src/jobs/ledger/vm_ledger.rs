use std::collections::BTreeMap;

use geraniumpost_schema::{Inventory, Name, Resources, TaskReport, TaskState};

use super::{Adoption, Hold, LedgerAction, LedgerConfig, LedgerCounters, LedgerEvent, Phase, Task};
use crate::{
    Millis,
    placement::amounts::{self, fits, minus, plus},
};

/// The agent's account of its VM: what runs on it and what still fits.
///
/// It is the one authority on that. Planners propose; a start is reserved here before the worker
/// hears of it, and refused if it doesn't fit, so that no race of planners, entries or restarts
/// gives the VM more than it holds.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, jobs::{LedgerAction, LedgerConfig, LedgerEvent, VmLedger}};
/// use geraniumpost_schema::Resources;
/// let capacity = Resources { milli_cpus: 64_000, memory_mb: 250_000, accelerators: 0 };
/// let mut ledger = VmLedger::new(7, capacity, LedgerConfig::default());
/// let actions = ledger.handle(LedgerEvent::Tick, Millis(0));
/// assert_eq!(actions, [LedgerAction::List], "a new agent first asks what the worker runs");
/// ```
#[derive(Debug, Clone)]
pub struct VmLedger {
    pub(super) incarnation: u64,
    pub(super) capacity: Resources,
    pub(super) reserve: Resources,
    pub(super) config: LedgerConfig,
    pub(super) term: u64,
    pub(super) hold: Hold,
    pub(super) adoption: Adoption,
    pub(super) inventory_owed: bool,
    pub(super) draining: bool,
    pub(super) last_list: Option<Millis>,
    pub(super) last_unsized: Millis,
    pub(super) tasks: BTreeMap<Name, Task>,
    pub(super) epochs: BTreeMap<Name, (u64, Millis)>,
    pub(super) counters: LedgerCounters,
}

impl VmLedger {
    /// Creates the ledger of an agent process that just started.
    pub fn new(incarnation: u64, capacity: Resources, config: LedgerConfig) -> Self {
        Self {
            incarnation,
            capacity,
            reserve: Resources::default(),
            config,
            term: 0,
            hold: Hold::default(),
            adoption: Adoption::Blank,
            inventory_owed: false,
            draining: false,
            last_list: None,
            last_unsized: Millis(0),
            tasks: BTreeMap::new(),
            epochs: BTreeMap::new(),
            counters: LedgerCounters::default(),
        }
    }

    /// Takes one event in and returns what is to be done, in order.
    pub fn handle(&mut self, event: LedgerEvent, now: Millis) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        match event {
            LedgerEvent::HeartbeatSent(sequence) => self.hold.sent(sequence, now),
            LedgerEvent::Ack(ack) => self.on_ack(&ack),
            LedgerEvent::Start(start) => self.on_start(start, now, &mut actions),
            LedgerEvent::Evict(task) => self.on_evict(&task, now, &mut actions),
            LedgerEvent::Stop(task) => self.on_stop(&task, now, &mut actions),
            LedgerEvent::Throttle(order) => self.on_throttle(&order, &mut actions),
            LedgerEvent::Settled(task) => self.on_settled(&task, &mut actions),
            LedgerEvent::Supersede(term) => self.on_supersede(term, &mut actions),
            LedgerEvent::Drain => self.draining = true,
            LedgerEvent::Reserve(reserve) => self.reserve = reserve,
            LedgerEvent::Tick => self.on_tick(now, &mut actions),
            answer => self.on_worker(answer, now, &mut actions),
        }
        actions
    }

    /// Returns whether a call that starts or renews a task may be made now.
    pub fn may_run(&self, now: Millis) -> bool {
        self.hold.is_valid(now)
    }

    /// Returns the highest planner term seen.
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Returns what the VM offers to batch work in all.
    pub const fn allocatable(&self) -> Resources {
        minus(&self.capacity, &self.reserve)
    }

    /// Returns what live tasks hold.
    pub fn reserved(&self) -> Resources {
        self.tasks.values().fold(amounts::NONE, |sum, task| plus(&sum, &task.size()))
    }

    /// Returns how many tasks may be using the VM.
    pub fn live_tasks(&self) -> usize {
        self.tasks.values().filter(|task| task.phase.is_live()).count()
    }

    /// Returns whether the ledger knows all that its worker runs.
    pub fn is_complete(&self) -> bool {
        self.adoption == Adoption::Complete
    }

    /// Returns what was refused or noticed so far.
    pub const fn counters(&self) -> LedgerCounters {
        self.counters
    }

    /// Returns the state of every run known.
    pub fn reports(&self) -> Vec<TaskReport> {
        self.tasks.values().map(Task::report).collect()
    }

    pub(super) fn inventory(&self) -> LedgerAction {
        LedgerAction::Inventory(Inventory {
            incarnation: self.incarnation,
            term: self.term,
            tasks: self.reports(),
        })
    }

    /// Returns whether a live task's declared size is not known, as after an adoption.
    ///
    /// The worker's list has only lagged usage, which may be far below what the task was promised; a
    /// start that fits beside the usage could overfill the VM a moment later.
    pub(super) fn has_unsized(&self) -> bool {
        self.tasks.values().any(|task| task.phase.is_live() && task.need.is_none())
    }

    /// Returns when the hold ends, for a check just before a call to the worker.
    pub const fn lease_until(&self) -> Millis {
        self.hold.until()
    }

    pub(super) fn has_room(&self, need: Resources) -> bool {
        fits(&need, &minus(&self.allocatable(), &self.reserved()))
    }

    /// Adopts a higher term and returns whether orders under `term` are obeyed.
    pub(super) fn obeys(&mut self, term: u64) -> bool {
        if term < self.term {
            self.counters.stale_terms += 1;
            return false;
        }
        self.term = term;
        true
    }

    pub(super) fn remember(&mut self, job: &Name, epoch: u64, now: Millis) {
        let known = self.epochs.entry(job.clone()).or_insert((epoch, now));
        *known = (known.0.max(epoch), now);
    }

    /// Ends a task and reports it.
    pub(super) fn end(
        &mut self,
        job: &Name,
        state: TaskState,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(task) = self.tasks.get_mut(job) else { return };
        task.enter(Phase::Ended(state), now);
        task.last_report = now;
        actions.push(LedgerAction::Report(task.report()));
    }
}
