use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_schema::{Document, JobClass, Name, Resources};

use super::{
    AgentView, JobView, PlannerAction, PlannerConfig, PlannerCounters, PlannerEvent, Predecessors,
    Run, Slot, Wanted,
};
use crate::{
    jobs::{BUCKETS, JobRecord, LeaseRole, Now, Takeover, bucket_of},
    placement::{Fleet, WorkerState},
};

/// The planner of a region for one term.
///
/// It keeps the records of all jobs in memory, decides on them at once, and writes what changed in
/// group commits. Nothing leaves the process that the store doesn't have yet: answers, starts and
/// settlements wait as effects of the bucket's next commit.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, jobs::*};
/// let holder = LeaseHolder::new("entry-1".into(), 7);
/// let record = TermRecord::first(holder, &LeaseConfig::default());
/// let takeover = Takeover::new(&record, Millis(0));
/// let mut planner = Planner::new(&takeover, PlannerConfig::default());
/// let moment = Now::new(Millis(1), 0, 0);
/// let actions = planner.handle(PlannerEvent::Tick, LeaseRole::Leader { term: 1 }, moment);
/// let read = |action: &&PlannerAction| matches!(action, PlannerAction::Read { .. });
/// assert_eq!(actions.iter().filter(read).count(), BUCKETS);
/// ```
#[derive(Debug, Clone)]
pub struct Planner {
    pub(super) term: u64,
    pub(super) config: PlannerConfig,
    pub(super) classes: BTreeMap<Name, JobClass>,
    pub(super) job_quotas: BTreeMap<Name, u32>,
    pub(super) reserves: BTreeMap<Name, Resources>,
    pub(super) slots: Vec<Slot>,
    pub(super) pending: BTreeSet<Name>,
    pub(super) runs: BTreeMap<Name, Run>,
    pub(super) restless: BTreeSet<Name>,
    pub(super) agents: BTreeMap<Name, AgentView>,
    pub(super) unfinished: BTreeMap<Name, u32>,
    pub(super) fleet: Fleet,
    pub(super) predecessors: Predecessors,
    pub(super) impossible: BTreeMap<Name, crate::Millis>,
    pub(super) settling_until: crate::Millis,
    /// As told with the event in hand.
    pub(super) standing: LeaseRole,
    pub(super) stepped_down: bool,
    pub(super) counters: PlannerCounters,
}

impl Planner {
    /// Creates the planner of a new term; it reads the records at its first tick.
    pub fn new(takeover: &Takeover, config: PlannerConfig) -> Self {
        let mut fleet = Fleet::default();
        fleet.set_awaiting_workers(true);
        Self {
            term: takeover.term,
            config,
            classes: BTreeMap::new(),
            job_quotas: BTreeMap::new(),
            reserves: BTreeMap::new(),
            slots: (0..BUCKETS).map(|_| Slot::new()).collect(),
            pending: BTreeSet::new(),
            runs: BTreeMap::new(),
            restless: BTreeSet::new(),
            agents: BTreeMap::new(),
            unfinished: BTreeMap::new(),
            fleet,
            predecessors: Predecessors::new(takeover),
            impossible: BTreeMap::new(),
            settling_until: takeover.at.plus(config.settling_ms),
            standing: LeaseRole::Follower,
            stepped_down: false,
            counters: PlannerCounters::default(),
        }
    }

    /// Takes over what the configuration says of classes, quotas and reserves.
    pub fn configure(&mut self, document: &Document) {
        self.classes.clone_from(&document.classes);
        self.job_quotas = document
            .customers
            .iter()
            .map(|(name, customer)| (name.clone(), customer.quota.jobs))
            .collect();
        let reserve = |service: &geraniumpost_schema::Service| Resources {
            milli_cpus: service.reserve.milli_cpus,
            memory_mb: service.reserve.memory_mb,
            accelerators: service.reserve.accelerators,
        };
        self.reserves = document
            .services
            .iter()
            .map(|(name, service)| (name.clone(), reserve(service)))
            .collect();
    }

    /// Takes one event in and returns what is to be done, in order.
    ///
    /// `standing` must be asked of the lease at the same instant as `moment`, because a planner that
    /// was paused may have been superseded in the meantime.
    pub fn handle(
        &mut self,
        event: PlannerEvent,
        standing: LeaseRole,
        moment: Now,
    ) -> Vec<PlannerAction> {
        let mut actions = Vec::new();
        if self.stepped_down {
            return actions;
        }
        self.standing = standing;
        match event {
            PlannerEvent::Submit { spec, reply } => {
                self.on_submit(spec, reply, moment, &mut actions);
            }
            PlannerEvent::Cancel { job, customer, reply } => {
                self.on_cancel(&job, &customer, reply, moment, &mut actions);
            }
            PlannerEvent::Report { agent, report } => {
                self.on_report(&agent, &report, moment, &mut actions);
            }
            PlannerEvent::Inventory { agent, inventory } => {
                self.on_inventory(&agent, &inventory, moment, &mut actions);
            }
            PlannerEvent::PredecessorStopped(holder) => {
                self.predecessors.gone(&holder, moment.clock)
            }
            PlannerEvent::Tick => self.on_tick(moment, &mut actions),
            event => self.on_link_or_store(event, moment, &mut actions),
        }
        self.flush(moment, &mut actions);
        actions
    }

    fn on_link_or_store(
        &mut self,
        event: PlannerEvent,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        match event {
            PlannerEvent::LinkUp { agent, incarnation } => {
                self.on_link_up(&agent, incarnation, moment, actions);
            }
            PlannerEvent::LinkDown { agent, incarnation } => {
                self.on_link_down(&agent, incarnation);
            }
            PlannerEvent::Draining { agent } => self.on_leaving(&agent, moment),
            PlannerEvent::CommitDone { bucket, revision } => {
                self.on_commit_done(bucket, revision, moment, actions);
            }
            PlannerEvent::CommitConflict { bucket } | PlannerEvent::CommitUnknown { bucket } => {
                self.on_commit_unclear(bucket, moment, actions);
            }
            PlannerEvent::ReadDone { bucket, found } => {
                self.on_read(bucket, found, moment, actions);
            }
            PlannerEvent::ReadFailed { bucket } => self.on_read_failed(bucket, moment),
            _ => {}
        }
    }

    fn on_tick(&mut self, moment: Now, actions: &mut Vec<PlannerAction>) {
        let now = moment.clock;
        self.read_unknown(moment, actions);
        if self.predecessors.newly_settled(now) {
            actions.push(PlannerAction::PredecessorsExpired);
        }
        self.show_workers(now);
        self.fleet.set_awaiting_workers(self.is_settling(now));
        self.ask_inventories(now, actions);
        if self.is_ready() {
            self.lose_lapsed(moment, actions);
            self.bury_finished(moment);
        }
        self.drive_all(now, actions);
    }

    /// Returns whether workers may be missing from view, so that nothing can be called impossible.
    fn is_settling(&self, now: crate::Millis) -> bool {
        let healthy = |view: &AgentView| view.shown == WorkerState::Healthy;
        now < self.settling_until || !self.agents.values().any(healthy)
    }

    /// Returns whether all records are read and fenced, so that work is taken.
    pub fn is_ready(&self) -> bool {
        self.slots.iter().all(|slot| slot.fenced)
    }

    /// Returns the term.
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Returns the workers and tasks as placement sees them.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns what was done and refused so far.
    pub const fn counters(&self) -> PlannerCounters {
        self.counters
    }

    /// Returns a job, if its record is still kept.
    pub fn job(&self, job: &str) -> Option<JobView> {
        let slot = &self.slots[bucket_of(job)];
        let record = slot.bucket.get(job)?.clone();
        let run = self.runs.get(job);
        Some(JobView {
            record,
            committed: slot.is_committed(),
            running: run.is_some_and(|run| run.seen),
            evicting: run.is_some_and(|run| run.wanted == Wanted::Evict),
        })
    }

    /// Returns the records of all jobs that are still kept.
    pub fn records(&self) -> impl Iterator<Item = &JobRecord> {
        self.slots.iter().flat_map(|slot| slot.bucket.records())
    }

    /// Returns how many records are in each state, in the order of
    /// [`JobState::ALL`](crate::jobs::JobState::ALL).
    pub fn count_by_state(&self) -> [u64; 6] {
        let mut counts = [0; 6];
        for record in self.records() {
            counts[record.state() as usize] += 1;
        }
        counts
    }

    /// Returns how many jobs wait and how many are assigned.
    pub fn queue_lengths(&self) -> (usize, usize) {
        (self.pending.len(), self.runs.len())
    }
}
