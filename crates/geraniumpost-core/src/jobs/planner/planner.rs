use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_schema::{Document, JobClass, Name, Resources};

use super::{
    AgentView, BucketSlot, JobView, PlannerAction, PlannerConfig, PlannerCounters, PlannerEvent,
    Predecessors, Run, RunGoal,
};
use crate::{
    jobs::{BUCKETS, JobRecord, LeaseRole, Now, Takeover, bucket_of},
    placement::{Fleet, WorkerState},
};

/// The planner of a region for one term.
///
/// It keeps the records of all jobs in memory, decides on them immediately, and writes changes in
/// group commits. Responses, starts and settlements are queued as effects of the bucket's next
/// commit, so no process is notified of a change that is not in the store.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, jobs::*};
/// let holder = LeaseHolder::new("entry-1".into(), 7);
/// let record = TermRecord::first(holder, &LeaseConfig::default());
/// let takeover = Takeover::new(&record, Millis(0));
/// let mut planner = Planner::new(&takeover, PlannerConfig::default());
/// let now = Now::new(Millis(1), 0, 0);
/// let actions = planner.handle(PlannerEvent::Tick, LeaseRole::Leader { term: 1 }, now);
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
    pub(super) slots: Vec<BucketSlot>,
    pub(super) pending: BTreeSet<Name>,
    pub(super) runs: BTreeMap<Name, Run>,
    pub(super) unsettled_runs: BTreeSet<Name>,
    pub(super) agents: BTreeMap<Name, AgentView>,
    pub(super) unfinished: BTreeMap<Name, u32>,
    pub(super) fleet: Fleet,
    pub(super) predecessors: Predecessors,
    pub(super) impossible: BTreeMap<Name, crate::Millis>,
    pub(super) settling_until: crate::Millis,
    /// Role passed with the event that is being handled.
    pub(super) role: LeaseRole,
    pub(super) stepped_down: bool,
    pub(super) counters: PlannerCounters,
}

impl Planner {
    /// Creates the planner of a new term. It reads the records at its first tick.
    pub fn new(takeover: &Takeover, config: PlannerConfig) -> Self {
        let mut fleet = Fleet::default();
        fleet.set_awaiting_workers(true);
        Self {
            term: takeover.term,
            config,
            classes: BTreeMap::new(),
            job_quotas: BTreeMap::new(),
            reserves: BTreeMap::new(),
            slots: (0..BUCKETS).map(|_| BucketSlot::new()).collect(),
            pending: BTreeSet::new(),
            runs: BTreeMap::new(),
            unsettled_runs: BTreeSet::new(),
            agents: BTreeMap::new(),
            unfinished: BTreeMap::new(),
            fleet,
            predecessors: Predecessors::new(takeover),
            impossible: BTreeMap::new(),
            settling_until: takeover.at.plus(config.settling_ms),
            role: LeaseRole::Follower,
            stepped_down: false,
            counters: PlannerCounters::default(),
        }
    }

    /// Applies the job classes, job quotas and service reserves of the configuration.
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

    /// Handles an event and returns the resulting actions in order.
    ///
    /// `role` must be read from the lease at the instant `now`, because a planner that was paused
    /// may have been superseded in the meantime.
    pub fn handle(&mut self, event: PlannerEvent, role: LeaseRole, now: Now) -> Vec<PlannerAction> {
        let mut actions = Vec::new();
        if self.stepped_down {
            return actions;
        }
        self.role = role;
        match event {
            PlannerEvent::Submit { spec, request_id } => {
                self.on_submit(spec, request_id, now, &mut actions);
            }
            PlannerEvent::Cancel { job, customer, request_id } => {
                self.on_cancel(&job, &customer, request_id, now, &mut actions);
            }
            PlannerEvent::Report { agent, report } => {
                self.on_report(&agent, &report, now, &mut actions);
            }
            PlannerEvent::Inventory { agent, inventory } => {
                self.on_inventory(&agent, &inventory, now, &mut actions);
            }
            PlannerEvent::PredecessorStopped(holder) => {
                self.predecessors.mark_stopped(&holder, now.clock);
            }
            PlannerEvent::Tick => self.on_tick(now, &mut actions),
            event => self.on_link_or_store(event, now, &mut actions),
        }
        self.send_commits(now, &mut actions);
        actions
    }

    fn on_link_or_store(
        &mut self,
        event: PlannerEvent,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        match event {
            PlannerEvent::LinkUp { agent, incarnation } => {
                self.on_link_up(&agent, incarnation, now, actions);
            }
            PlannerEvent::LinkDown { agent, incarnation } => {
                self.on_link_down(&agent, incarnation);
            }
            PlannerEvent::Draining { agent } => self.on_draining(&agent),
            PlannerEvent::CommitDone { bucket, revision } => {
                self.on_commit_done(bucket, revision, now, actions);
            }
            PlannerEvent::CommitConflict { bucket } | PlannerEvent::CommitUnknown { bucket } => {
                self.on_commit_uncertain(bucket, now, actions);
            }
            PlannerEvent::ReadDone { bucket, found } => {
                self.on_read(bucket, found, now, actions);
            }
            PlannerEvent::ReadFailed { bucket } => self.on_read_failed(bucket, now),
            _ => {}
        }
    }

    fn on_tick(&mut self, now: Now, actions: &mut Vec<PlannerAction>) {
        let clock = now.clock;
        self.read_unknown_buckets(now, actions);
        if self.predecessors.check_newly_expired(clock) {
            actions.push(PlannerAction::PredecessorsExpired);
        }
        self.update_worker_states(clock);
        self.fleet.set_awaiting_workers(self.is_settling(clock));
        self.request_inventories(clock, actions);
        if self.is_ready() {
            self.end_expired_runs(now, actions);
            self.drop_expired_records(now);
        }
        self.send_due_orders(clock, actions);
    }

    /// Returns whether workers may be missing, because the term has just begun or no worker is
    /// healthy. No job may be considered impossible then.
    fn is_settling(&self, now: crate::Millis) -> bool {
        let healthy = |view: &AgentView| view.placement_state == WorkerState::Healthy;
        now < self.settling_until || !self.agents.values().any(healthy)
    }

    /// Returns whether all buckets are read and fenced, so that requests are accepted.
    pub fn is_ready(&self) -> bool {
        self.slots.iter().all(|slot| slot.fenced)
    }

    /// Returns the term under which this planner sends orders and writes records.
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// Returns the workers and their tasks, on which placement decides.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the event counts since the term began.
    pub const fn counters(&self) -> PlannerCounters {
        self.counters
    }

    /// Returns the state of a job if its record is still kept.
    pub fn job(&self, job: &str) -> Option<JobView> {
        let slot = &self.slots[bucket_of(job)];
        let record = slot.bucket.get(job)?.clone();
        let run = self.runs.get(job);
        Some(JobView {
            record,
            committed: slot.is_committed(),
            running: run.is_some_and(|run| run.reported),
            evicting: run.is_some_and(|run| run.goal == RunGoal::Evict),
        })
    }

    /// Returns all records that are still kept.
    pub fn records(&self) -> impl Iterator<Item = &JobRecord> {
        self.slots.iter().flat_map(|slot| slot.bucket.records())
    }

    /// Returns the number of records in each state, in the order of
    /// [`JobState::ALL`](crate::jobs::JobState::ALL).
    pub fn count_by_state(&self) -> [u64; 6] {
        let mut counts = [0; 6];
        for record in self.records() {
            counts[record.state() as usize] += 1;
        }
        counts
    }

    /// Returns the number of pending jobs and the number of jobs with a run, which are assigned or
    /// being cancelled.
    pub fn queue_lengths(&self) -> (usize, usize) {
        (self.pending.len(), self.runs.len())
    }
}
