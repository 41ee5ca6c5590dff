//! The coordinator: holds all jobs and the state of all minions, and decides which task runs where.

mod agents;
mod approvals;
mod best_effort_placement;
mod best_effort_tasks;
mod caller_requests;
mod commits;
mod departures;
mod draining;
mod effect;
mod eligibility;
mod headroom;
mod job;
mod lease_basis;
mod leases;
mod longest_wait;
mod measurements;
mod minion;
mod minion_lifecycle;
mod order_results;
mod orders;
mod pacing;
mod placement;
mod poll_results;
mod predecessor_leases;
mod rejection;
mod run;
mod run_ends;
mod serving_tasks;
mod timers;
mod unreachable;
mod wait_monitor;
mod wait_state;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use geraniumpost_schema::Name;

use crate::interference::InterferenceModel;
use crate::{FromAgent, JobId, JobRecord, Now, TaskId};

pub use effect::{Effect, WriteBatch};
pub use leases::lease_expiry_bound_ms;
pub use longest_wait::LongestWait;

use agents::Agent;
use approvals::Approvals;
use commits::PendingBatch;
use departures::Departure;
use job::Job;
use lease_basis::EntrySupport;
use minion::Minion;
use predecessor_leases::PredecessorExpiry;
use run::Run;
use wait_state::WaitState;

/// Decides which task runs where, for one service or several, while its fencing token is the
/// highest.
///
/// Two processes may both believe that they are the coordinator. Correctness does not depend on
/// when a lease ends, but on the store, which writes a batch only for the holder of the
/// coordinator's key, and on minions, which obey only the highest token. See
/// docs/design/0601-jobs-on-a-shared-store.md.
#[derive(Debug)]
pub struct Coordinator {
    fence: u64,
    lease_ms: u64,
    max_open_jobs: usize,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs in no final state, which may have waiting tasks.
    open_jobs: BTreeSet<JobId>,
    /// Jobs whose record differs from the store's.
    dirty: BTreeSet<JobId>,
    /// Finished jobs whose records are to be removed from the store.
    expired_jobs: Vec<JobId>,
    runs: BTreeMap<TaskId, Run>,
    minions: BTreeMap<Name, Minion>,
    agents: HashMap<Name, Agent>,
    /// Terminated minions whose end the records do not hold yet.
    departures: BTreeMap<Name, Departure>,
    batches: HashMap<u64, PendingBatch>,
    next_batch: u64,
    /// When the store's last confirmation of this coordinator was received, on the steady clock.
    confirmed_ms: u64,
    /// When the last request that the store confirmed was sent, on the steady clock.
    confirmation_requested_ms: u64,
    support: EntrySupport,
    predecessor_expiry: PredecessorExpiry,
    /// Agents that are not reached although their minions may have runs, and when their leases have
    /// certainly expired, on the steady clock.
    unreached_agents: BTreeMap<Name, u64>,
    leases_for_successor_changed: bool,
    approvals: Approvals,
    /// How much best-effort images slow serving images.
    interference: InterferenceModel,
    /// Whether a change may allow a waiting task to be placed.
    placement_due: bool,
    /// When learned interference was last handed to a write, on the steady clock.
    interference_written_ms: u64,
    /// Demand of a best-effort step that no minion accepted in the current placement round, by
    /// service and image.
    unplaceable: BTreeMap<(Name, Name), crate::Demand>,
    /// Waiting tasks, for log lines and metrics only; no decision depends on it.
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
            jobs: BTreeMap::new(),
            open_jobs: BTreeSet::new(),
            dirty: BTreeSet::new(),
            expired_jobs: Vec::new(),
            runs: BTreeMap::new(),
            minions: BTreeMap::new(),
            agents: HashMap::new(),
            departures: BTreeMap::new(),
            batches: HashMap::new(),
            next_batch: 1,
            confirmed_ms: now.steady_ms,
            confirmation_requested_ms: now.steady_ms,
            support: EntrySupport::default(),
            predecessor_expiry: PredecessorExpiry::default(),
            unreached_agents: BTreeMap::new(),
            leases_for_successor_changed: false,
            approvals: Approvals::default(),
            interference: InterferenceModel::default(),
            placement_due: false,
            interference_written_ms: now.steady_ms,
            unplaceable: BTreeMap::new(),
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

    /// Loads the records that the store holds.
    #[must_use]
    pub fn with_records(mut self, records: Vec<(JobId, JobRecord)>, now: Now) -> Self {
        for (id, record) in records {
            self.load_job(id, record, now);
        }
        self.placement_due = true;
        self
    }

    /// Returns the fencing token.
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the number of known jobs and the number of runs that may exist.
    pub fn job_and_run_counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.runs.len())
    }

    /// Handles a message from an agent.
    pub fn handle_agent_message(&mut self, agent: &Name, message: FromAgent, now: Now) {
        match message {
            FromAgent::Hello { .. } => self.handle_agent_connected(agent, now),
            FromAgent::Heartbeat { sent_at_ms, minion_ok } => {
                self.extend_lease(agent, sent_at_ms, minion_ok, now);
            }
            FromAgent::Minion(info) => self.update_minion(agent, info, now),
            FromAgent::MinionTerminated { minion } => self.minion_terminated(agent, &minion, now),
            FromAgent::PollResult(poll) => self.handle_poll_result(agent, poll, now),
            FromAgent::Result(result) => self.handle_order_result(result, now),
        }
    }

    /// Places waiting tasks if a place may have become available, gathers records to write, and
    /// returns everything that the driver has to do.
    pub fn take_effects(&mut self, now: Now) -> Vec<Effect> {
        if self.placement_due {
            self.place_waiting(now);
        }
        self.gather_writes(now);
        std::mem::take(&mut self.effects)
    }

    /// Sets when the term was requested from the store, on the steady clock.
    #[must_use]
    pub const fn with_term_requested_ms(mut self, steady_ms: u64) -> Self {
        self.confirmation_requested_ms = steady_ms;
        self
    }

    /// Records that the store confirmed this coordinator: when the confirmation was requested and
    /// when its response was read, on the steady clock.
    ///
    /// The confirmation holds for the time of the request only. The response may take seconds to
    /// arrive, and another entry may take over meanwhile; that successor then waits for as long as
    /// leases are extended without the store, counted from its takeover.
    pub fn record_store_confirmation(&mut self, requested_ms: u64, steady_ms: u64) {
        self.confirmation_requested_ms = self.confirmation_requested_ms.max(requested_ms);
        self.confirmed_ms = self.confirmed_ms.max(steady_ms);
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
            // An order of the predecessor may still be in flight and carried out after this
            // coordinator's.
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
