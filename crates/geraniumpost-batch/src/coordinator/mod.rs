//! The coordinator: every job, every minion's view, and all decisions on them.

mod agents;
mod approvals;
mod asking;
mod bar;
mod barring;
mod commits;
mod departures;
mod effect;
mod ends;
mod filling;
mod gauges;
mod inherited;
mod job;
mod lease_basis;
mod leases;
mod leaving;
mod longest_wait;
mod looks;
mod minion;
mod order_results;
mod ordering;
mod pacing;
mod patience;
mod placing;
mod presence;
mod rooms;
mod run;
mod serving;
mod timers;
mod unreachable;
mod waiting;
mod waits;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use geraniumpost_schema::Name;

use crate::interference::InterferenceModel;
use crate::{FromAgent, JobId, JobRecord, Now, TaskId};

pub use effect::{Effect, WriteBatch};
pub use leases::lease_expiry_bound_ms;
pub use longest_wait::LongestWait;

use agents::Agent;
use approvals::Approvals;
use commits::Batch;
use departures::Departure;
use inherited::Inherited;
use job::Job;
use lease_basis::Supported;
use minion::Minion;
use run::Run;
use waits::Waits;

/// Decides which task runs where, for one service or many, while its fencing token is the highest.
///
/// Two processes may both believe that they coordinate. Correctness rests on the store, which
/// writes a batch only for the holder of the coordinator's key, and on minions, which obey only the
/// highest token; never on when a lease ends. See docs/design/0601-jobs-on-a-shared-store.md.
#[derive(Debug)]
pub struct Coordinator {
    fence: u64,
    lease_ms: u64,
    max_open_jobs: usize,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs that may have waiting tasks.
    open: BTreeSet<JobId>,
    /// Jobs whose record differs from the store's.
    dirty: BTreeSet<JobId>,
    /// Finished jobs to be removed from the store.
    expired: Vec<JobId>,
    runs: BTreeMap<TaskId, Run>,
    minions: BTreeMap<Name, Minion>,
    agents: HashMap<Name, Agent>,
    /// Minions that are certainly gone, until the records say so.
    departures: BTreeMap<Name, Departure>,
    batches: HashMap<u64, Batch>,
    next_batch: u64,
    /// When the store last confirmed this coordinator, on the steady clock.
    confirmed_ms: u64,
    /// When it was asked for that.
    asked_ms: u64,
    /// The support of other entries.
    supported: Supported,
    inherited: Inherited,
    /// Agents that are not reached though something may run beside them, and when their leases have
    /// surely lapsed.
    unreached: BTreeMap<Name, u64>,
    inheritance_changed: bool,
    approvals: Approvals,
    /// How much images that fill slow images that serve.
    interference: InterferenceModel,
    /// Whether something changed that may let a task be placed.
    placing_due: bool,
    /// When a successor was last told what was learnt of images.
    told_ms: u64,
    /// By service and image, what found no place in the present round of placements.
    unplaceable: BTreeMap<(Name, Name), crate::Demand>,
    /// What waits, as far as lines and gauges tell it; no decision rests on it.
    waits: Waits,
    effects: Vec<Effect>,
}

impl Coordinator {
    /// Returns a coordinator without jobs, whose orders carry the token `fence`.
    pub fn new(fence: u64, now: Now) -> Self {
        Self {
            fence,
            lease_ms: 0,
            max_open_jobs: crate::tuning::MAX_OPEN_JOBS,
            jobs: BTreeMap::new(),
            open: BTreeSet::new(),
            dirty: BTreeSet::new(),
            expired: Vec::new(),
            runs: BTreeMap::new(),
            minions: BTreeMap::new(),
            agents: HashMap::new(),
            departures: BTreeMap::new(),
            batches: HashMap::new(),
            next_batch: 1,
            confirmed_ms: now.steady_ms,
            asked_ms: now.steady_ms,
            supported: Supported::default(),
            inherited: Inherited::default(),
            unreached: BTreeMap::new(),
            inheritance_changed: false,
            approvals: Approvals::default(),
            interference: InterferenceModel::default(),
            placing_due: false,
            told_ms: now.steady_ms,
            unplaceable: BTreeMap::new(),
            waits: Waits::new(now.steady_ms),
            effects: Vec::new(),
        }
    }

    /// Sets how long a lease lets minions hold their tasks, in milliseconds.
    #[must_use]
    pub const fn lease_ms(mut self, lease_ms: u64) -> Self {
        self.lease_ms = lease_ms;
        self
    }

    /// Sets how many jobs may be open before new ones are refused.
    #[must_use]
    pub const fn max_open_jobs(mut self, jobs: usize) -> Self {
        self.max_open_jobs = jobs;
        self
    }

    /// Takes over the records that the store holds.
    #[must_use]
    pub fn with_records(mut self, records: Vec<(JobId, JobRecord)>, now: Now) -> Self {
        for (id, record) in records {
            self.adopt(id, record, now);
        }
        self.placing_due = true;
        self
    }

    /// Returns the fencing token.
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns how many jobs are known, and how many runs may exist.
    pub fn job_and_run_counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.runs.len())
    }

    /// Takes a message from an agent.
    pub fn handle_agent_message(&mut self, agent: &Name, message: FromAgent, now: Now) {
        match message {
            FromAgent::Hello { .. } => self.agent_linked(agent, now),
            FromAgent::Heartbeat { sent_at_ms, minion_ok } => {
                self.extend_lease(agent, sent_at_ms, minion_ok, now);
            }
            FromAgent::Minion(info) => self.minion_reported(agent, info, now),
            FromAgent::MinionTerminated { minion } => self.minion_departed(agent, &minion, now),
            FromAgent::PollResult(look) => self.look(agent, look, now),
            FromAgent::Result(result) => self.order_result(result, now),
        }
    }

    /// Returns what is to be done now: decides placements that became possible, and gathers records
    /// to write.
    pub fn take_effects(&mut self, now: Now) -> Vec<Effect> {
        if self.placing_due {
            self.place_waiting(now);
        }
        self.gather_writes(now);
        std::mem::take(&mut self.effects)
    }

    /// Sets when the store was asked for the term, on the steady clock.
    #[must_use]
    pub const fn term_requested_at(mut self, steady_ms: u64) -> Self {
        self.asked_ms = steady_ms;
        self
    }

    /// Takes note that the store confirmed this coordinator: when it was asked, and when its answer was
    /// read, on the steady clock.
    ///
    /// The answer holds for the time of asking only. It may be on its way for seconds, in which another
    /// entry takes over; that one waits for as long as leases are extended without the store, counted from
    /// its takeover.
    pub fn store_confirmed(&mut self, asked_ms: u64, steady_ms: u64) {
        self.asked_ms = self.asked_ms.max(asked_ms);
        self.confirmed_ms = self.confirmed_ms.max(steady_ms);
    }

    fn note(&mut self, line: String) {
        self.effects.push(Effect::Log(line));
    }

    /// Puts a job from the store in place, with the runs that may exist.
    fn adopt(&mut self, id: JobId, record: JobRecord, now: Now) {
        let placed: Vec<_> =
            record.occurrences.iter().flat_map(|occurrence| placed_tasks(id, occurrence)).collect();
        let is_final = record.state.is_final();
        self.jobs.insert(id, Job::loaded(record));
        if !is_final {
            self.open.insert(id);
        }
        for (task, number, place) in placed {
            let order = if is_final {
                run::OrderState::Stopping { at_ms: 0 }
            } else {
                run::OrderState::Unknown { since_ms: now.steady_ms }
            };
            let spec = self.step_spec(task).cloned().unwrap_or_default();
            let mut run = Run::new(place, number, order, &spec, now.steady_ms);
            // The predecessor's order may have left, and may be carried out later than ours.
            run.unanswered = true;
            run.pace_known = false;
            self.insert_run(task, run);
        }
    }
}

/// Lists the tasks of an occurrence whose last run may exist.
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
