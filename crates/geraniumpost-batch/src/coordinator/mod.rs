//! The coordinator: holds all jobs and the state of all minions, and decides which task runs where.
//!
//! `minion` says what a minion is, `eligibility` which minions can take a task and why others cannot,
//! and `placement` which of them is best; each knows only the ones before it.

mod admission;
mod agents;
mod approvals;
mod best_effort_placement;
mod best_effort_tasks;
mod caller_requests;
mod capacity_shortfall;
mod commits;
mod copies;
mod copy_events;
mod crash_verdict;
mod crashes;
mod departures;
mod disturbance;
mod draining;
mod effect;
mod eligibility;
mod evacuated_domains;
mod explained_crashes;
mod failure_odds;
mod group_headroom;
mod headroom;
mod held_room;
mod isolation_limits;
mod job;
mod late_starts;
mod lease_basis;
mod leases;
mod log_fields;
mod longest_wait;
mod main_suspect;
mod measurements;
mod minion;
mod minion_lifecycle;
mod order_results;
mod orders;
mod pacing;
mod placement;
mod poll_results;
mod predecessor_leases;
mod preemption;
mod recent_crashes;
mod rejection;
mod report_waits;
mod restarts;
mod run;
mod run_ends;
mod serving_tasks;
mod shares;
mod step_key;
mod termination_cause;
mod timers;
mod unreachable;
mod wait_monitor;
mod wait_state;
mod young_run;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use geraniumpost_schema::Name;

use crate::admission::CommitHealth;
use crate::disturbance::DisturbanceLedger;
use crate::failure_odds::FailureOdds;
use crate::interference::InterferenceModel;
use crate::stragglers::RunDurations;
use crate::{Feature, Features, FromAgent, JobId, JobRecord, Now, TaskId};

pub use admission::AdmissionStatus;
pub use copies::CopyCounts;
pub use effect::{Effect, WriteBatch};
pub use evacuated_domains::EvacuationStatus;
pub use leases::lease_expiry_bound_ms;
pub use longest_wait::LongestWait;

use agents::Agent;
use approvals::Approvals;
use commits::PendingBatch;
use departures::Departure;
use evacuated_domains::EvacuatedDomains;
use explained_crashes::ExplainedCrashes;
use isolation_limits::IsolationLimits;
use job::Job;
use late_starts::LateStarts;
use lease_basis::EntrySupport;
use minion::Minion;
use predecessor_leases::PredecessorExpiry;
use preemption::Preemption;
use recent_crashes::RecentCrashes;
use run::Run;
use shares::Shares;
use wait_state::WaitState;

/// Decides which task runs where, for one service or several, while its fencing token is the
/// highest.
///
/// Two processes may both believe that they are the coordinator. Writes and orders stay correct
/// even then: the store writes a batch only for the holder of the coordinator's key, and minions
/// accept orders only with the highest token. Only the replacement of runs on unreachable minions
/// relies on time bounds ([`lease_expiry_bound_ms`]). See
/// docs/design/0601-jobs-on-a-shared-store.md.
#[derive(Debug)]
pub struct Coordinator {
    fence: u64,
    lease_ms: u64,
    max_open_jobs: usize,
    /// Optional decisions that this coordinator makes.
    features: Features,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs that have not reached a final state.
    open_jobs: BTreeSet<JobId>,
    /// Jobs whose record differs from the store's.
    dirty: BTreeSet<JobId>,
    /// Finished jobs whose records are to be removed from the store.
    expired_jobs: Vec<JobId>,
    runs: BTreeMap<TaskId, Run>,
    /// Second runs of tasks, which no record contains; at most one for each task.
    copies: BTreeMap<TaskId, Run>,
    copy_counts: CopyCounts,
    /// How long ended runs took, by class of work.
    run_durations: RunDurations,
    /// Whether the last placement round left tasks that wait for room, without best-effort tasks.
    tasks_wait_for_room: bool,
    minions: BTreeMap<Name, Minion>,
    agents: HashMap<Name, Agent>,
    /// Latest crashes of any minions.
    crashes: RecentCrashes,
    /// Latest crashes of minions that are not put down to one suspect.
    unexplained_crashes: RecentCrashes,
    /// Terminated minions whose termination the stored records do not contain yet.
    departures: BTreeMap<Name, Departure>,
    /// Start orders that may still be carried out although their runs are over.
    late_starts: LateStarts,
    batches: HashMap<u64, PendingBatch>,
    next_batch_number: u64,
    commit_health: CommitHealth,
    admission_status: AdmissionStatus,
    /// Time at which the store's last confirmation of this coordinator was received, on the
    /// monotonic clock.
    confirmed_ms: u64,
    /// Time at which the last request that the store confirmed was sent, on the monotonic clock.
    confirmation_requested_ms: u64,
    support: EntrySupport,
    predecessor_expiry: PredecessorExpiry,
    /// Agents that are not reached although their minions may have runs, with the time on the
    /// monotonic clock by which their leases have certainly expired.
    unreached_agents: BTreeMap<Name, u64>,
    leases_for_successor_changed: bool,
    approvals: Approvals,
    evacuated_domains: EvacuatedDomains,
    /// Learned slowdown of serving images by best-effort images.
    interference: InterferenceModel,
    /// Disturbed tasks of serving steps; empty without
    /// [`Feature::DisturbanceBudget`](crate::Feature::DisturbanceBudget).
    disturbance: DisturbanceLedger,
    /// Whether something has changed since the last placement round that may allow a waiting task
    /// to be placed.
    placement_due: bool,
    /// Time at which learned interference was last included in a write, on the monotonic clock.
    interference_written_ms: u64,
    /// Demand of a best-effort step that no minion accepted in the current placement round, by
    /// service and image.
    unplaceable: BTreeMap<(Name, Name), crate::Demand>,
    /// Tasks that were given up for their crashes, until their jobs are removed; of a gang the
    /// first.
    tasks_given_up: BTreeSet<TaskId>,
    /// Crashes that are put down to tasks which were given up.
    explained_crashes: ExplainedCrashes,
    /// How many tasks under which two minions have crashed a minion starts at the same time.
    isolation_limits: IsolationLimits,
    /// Minions that start a task which must be isolated, as of the last placement round.
    suspect_starts: BTreeSet<Name>,
    /// Tasks for which resources are held since the last placement round.
    held_for: BTreeSet<TaskId>,
    /// The same as of the round before, for log lines only.
    held_before: BTreeSet<TaskId>,
    /// Division of capacity between queues.
    shares: Shares,
    /// Runs that were stopped for more urgent tasks.
    preemption: Preemption,
    /// Odds of failure by class of work and by job, with [`Feature::Stragglers`](crate::Feature).
    failure_odds: FailureOdds,
    /// Number of quarantines that these odds led to.
    quarantine_count: u64,
    /// Waiting tasks, for log lines and metrics only; no decision depends on this state.
    wait_state: WaitState,
    effects: Vec<Effect>,
}

impl Coordinator {
    /// Returns a coordinator without jobs whose orders carry the fencing token `fence`.
    pub fn new(fence: u64, now: Now) -> Self {
        Self {
            fence,
            lease_ms: 0,
            max_open_jobs: crate::tuning::MAX_OPEN_JOBS,
            features: Features::default(),
            jobs: BTreeMap::new(),
            open_jobs: BTreeSet::new(),
            dirty: BTreeSet::new(),
            expired_jobs: Vec::new(),
            runs: BTreeMap::new(),
            copies: BTreeMap::new(),
            copy_counts: CopyCounts::default(),
            run_durations: RunDurations::default(),
            tasks_wait_for_room: false,
            minions: BTreeMap::new(),
            agents: HashMap::new(),
            crashes: RecentCrashes::default(),
            unexplained_crashes: RecentCrashes::default(),
            departures: BTreeMap::new(),
            late_starts: LateStarts::default(),
            batches: HashMap::new(),
            next_batch_number: 1,
            commit_health: CommitHealth::new(now.steady_ms),
            admission_status: AdmissionStatus::default(),
            confirmed_ms: now.steady_ms,
            confirmation_requested_ms: now.steady_ms,
            support: EntrySupport::default(),
            predecessor_expiry: PredecessorExpiry::default(),
            unreached_agents: BTreeMap::new(),
            leases_for_successor_changed: false,
            approvals: Approvals::default(),
            evacuated_domains: EvacuatedDomains::default(),
            interference: InterferenceModel::default(),
            disturbance: DisturbanceLedger::default(),
            placement_due: false,
            interference_written_ms: now.steady_ms,
            unplaceable: BTreeMap::new(),
            tasks_given_up: BTreeSet::new(),
            explained_crashes: ExplainedCrashes::default(),
            isolation_limits: IsolationLimits::default(),
            suspect_starts: BTreeSet::new(),
            held_for: BTreeSet::new(),
            held_before: BTreeSet::new(),
            shares: Shares::default(),
            preemption: Preemption::new(now.steady_ms),
            failure_odds: FailureOdds::default(),
            quarantine_count: 0,
            wait_state: WaitState::new(now.steady_ms),
            effects: Vec::new(),
        }
    }

    /// Sets the duration of a lease on tasks, in milliseconds.
    #[must_use]
    pub const fn with_lease_ms(mut self, lease_ms: u64) -> Self {
        self.lease_ms = lease_ms;
        self
    }

    /// Sets how many jobs may be open before new ones are refused.
    #[must_use]
    pub const fn with_max_open_jobs(mut self, jobs: usize) -> Self {
        self.max_open_jobs = jobs;
        self
    }

    /// Sets which optional decisions the coordinator makes; by default none.
    #[must_use]
    pub const fn with_features(mut self, features: Features) -> Self {
        self.features = features;
        self
    }

    /// Loads job records from the store, with the runs that may exist.
    #[must_use]
    pub fn with_records(mut self, records: Vec<(JobId, JobRecord)>, now: Now) -> Self {
        for (id, record) in records {
            self.load_job(id, record, now);
        }
        self.placement_due = true;
        self
    }

    /// Returns the fencing token that this coordinator's orders carry.
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the number of known jobs and the number of runs that may exist.
    pub fn job_and_run_counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.runs.len())
    }

    /// Handles a message from an agent. Responses are among the next effects.
    pub fn handle_agent_message(&mut self, agent: &Name, message: FromAgent, now: Now) {
        match message {
            FromAgent::Hello { .. } => self.handle_agent_connected(agent, now),
            FromAgent::Heartbeat { sent_at_ms, minion_ok } => {
                self.handle_heartbeat(agent, sent_at_ms, minion_ok, now);
            }
            FromAgent::Minion(info) => self.handle_minion_info(agent, info, now),
            FromAgent::MinionTerminated { minion, crashed, replaced_by } => {
                self.handle_minion_terminated(agent, &minion, crashed, replaced_by.as_ref(), now);
            }
            FromAgent::PollResult(poll) => self.handle_poll_result(agent, poll, now),
            FromAgent::Result(result) => self.handle_order_result(result, now),
        }
    }

    /// Places waiting tasks if something has changed that may allow a placement, gathers records to
    /// write, and returns everything that the driver has to do.
    pub fn take_effects(&mut self, now: Now) -> Vec<Effect> {
        if self.features.contains(Feature::Admission) {
            self.update_admission(now);
        }
        if self.placement_due {
            self.place_waiting_tasks(now);
        }
        self.gather_writes(now);
        std::mem::take(&mut self.effects)
    }

    /// Sets the time at which the term was requested from the store, on the monotonic clock.
    #[must_use]
    pub const fn with_term_requested_ms(mut self, steady_ms: u64) -> Self {
        self.confirmation_requested_ms = steady_ms;
        self
    }

    /// Records that the store confirmed this coordinator. The confirmation was requested at
    /// `requested_ms`, and its response was read at `steady_ms`, both on the monotonic clock.
    ///
    /// The confirmation proves only that this coordinator held the key when the request was sent,
    /// so its validity counts from `requested_ms`. The response may take seconds to arrive, and
    /// another entry may take over meanwhile; the successor then waits for as long as leases may be
    /// extended without the store, counted from its takeover.
    pub fn record_store_confirmation(&mut self, requested_ms: u64, steady_ms: u64) {
        self.confirmation_requested_ms = self.confirmation_requested_ms.max(requested_ms);
        self.confirmed_ms = self.confirmed_ms.max(steady_ms);
        self.commit_health.record_response(steady_ms.saturating_sub(requested_ms));
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log(line));
    }

    /// Inserts a job from the store with the runs that may exist.
    fn load_job(&mut self, id: JobId, record: JobRecord, now: Now) {
        let placed: Vec<_> =
            record.occurrences.iter().flat_map(|occurrence| placed_tasks(id, occurrence)).collect();
        let is_final = record.state.is_final();
        self.jobs.insert(id, Job::from_store(record));
        if !is_final {
            self.open_jobs.insert(id);
        }
        for (task, number, place) in placed {
            let order = if is_final {
                run::OrderState::Stopping { at_ms: 0 }
            } else {
                run::OrderState::Unknown { since_ms: now.steady_ms }
            };
            let spec = self.step_spec(task).cloned().unwrap_or_default();
            let mut run = Run::new(place, number, order, &spec, now.steady_ms);
            // The predecessor may have sent a start order that is still in flight, and the minion
            // may carry it out after an order of this coordinator.
            run.start_unresolved = true;
            run.pace_confirmed = false;
            self.insert_run(task, run);
        }
    }
}

/// Lists the tasks of an occurrence whose last run may exist, with the run's number and place.
fn placed_tasks(job: JobId, occurrence: &crate::Occurrence) -> Vec<(TaskId, u32, crate::Place)> {
    let mut placed = Vec::new();
    for (step, tasks) in occurrence.steps.iter().enumerate() {
        for (index, task) in tasks.iter().enumerate() {
            if let crate::TaskPhase::Placed(place) = &task.phase {
                let id = TaskId {
                    job,
                    occurrence: occurrence.number,
                    step: step as u16,
                    index: index as u32,
                };
                placed.push((id, task.run, place.clone()));
            }
        }
    }
    placed
}
