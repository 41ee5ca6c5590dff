//! A coordinator with a store, agents and minions that a test drives step by step.
//!
//! Only the clock advances automatically, with the heartbeats ([`Cluster::advance`]). A test says
//! when minions join, are polled and carry orders out, so that it can hold back each of these. In a
//! [`Simulation`](crate::simulation::Simulation), machines do all of it themselves.

mod agents;
mod effects;
mod fixtures;
mod orders;

pub use fixtures::{agent_name, minion_info, persistent_step, step, task, terms};

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use geraniumpost_batch::tuning::PROMISE_DURATION_MS;
use geraniumpost_batch::{
    CallerRequest, CallerResponse, Coordinator, EndedTask, InterferenceSnapshot, JobId, JobRecord,
    JobSpec, JobState, Now, Order, PredecessorLeases, QueueTerms, StepSpec, TaskId, WriteBatch,
};
use geraniumpost_schema::Name;

/// Duration of leases in these tests, in milliseconds.
pub const LEASE_MS: u64 = 5_000;

/// Number of other entries that support the coordinator.
const SUPPORTERS: usize = 2;
/// Interval between heartbeats of an agent, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Address of a coordinator that stopped answering.
pub const SILENT_COORDINATOR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// Address of its successor.
const SUCCESSOR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 2);

/// A coordinator and everything it communicates with.
pub struct Cluster {
    pub coordinator: Coordinator,
    pub now: Now,
    pub store: BTreeMap<JobId, Vec<u8>>,
    /// Learned interference as last written by a coordinator.
    pub stored_interference: Option<Vec<u8>>,
    /// Writes that are not confirmed yet.
    pub pending_writes: Vec<WriteBatch>,
    /// Whether writes are confirmed at once.
    pub confirm_writes: bool,
    pub responses: BTreeMap<u64, CallerResponse>,
    /// Orders that no minion has received yet.
    pub orders: Vec<Order>,
    /// Sequence number of the last acknowledged end, by minion.
    pub acknowledged: BTreeMap<Name, u64>,
    /// Departed minions that agents may forget.
    pub settled_departures: Vec<Name>,
    /// The run of each running task, by minion.
    pub running: BTreeMap<Name, BTreeMap<TaskId, u32>>,
    pub log_lines: Vec<String>,
    /// Requests to the admission service: the step, and the candidate minions.
    pub approval_requests: Vec<(TaskId, Vec<Name>)>,
    /// Progress in percent that minions report of tasks that are not in `task_percent`.
    pub default_percent: u8,
    pub task_percent: BTreeMap<TaskId, u8>,
    /// The pace that each task was last ordered to run at, in percent.
    pub paces: BTreeMap<TaskId, u8>,
    /// Lease extensions: the agent, when it sent its heartbeat, and the duration in milliseconds.
    pub lease_extensions: Vec<(Name, u64, u64)>,
    /// Whether the store confirms the coordinator's term as time passes.
    pub store_confirms: bool,
    /// Whether a majority of entries supports the coordinator as time passes.
    pub entries_support: bool,
    /// Whether agents that have sent a heartbeat continue to do so as time passes, until they are
    /// disconnected.
    pub automatic_heartbeats: bool,
    /// Minions whose agents send heartbeats.
    heartbeating_minions: BTreeSet<String>,
    ended_tasks: BTreeMap<Name, Vec<EndedTask>>,
    gauges: BTreeMap<TaskId, u32>,
    last_result_number: u64,
    last_request_id: u64,
    fence: u64,
}

impl Cluster {
    pub fn new() -> Self {
        let now = Now { steady_ms: 100_000, wall_ms: 1_000_000 };
        Self {
            coordinator: Coordinator::new(1, now).with_lease_ms(LEASE_MS),
            now,
            store: BTreeMap::new(),
            stored_interference: None,
            pending_writes: Vec::new(),
            confirm_writes: true,
            responses: BTreeMap::new(),
            orders: Vec::new(),
            acknowledged: BTreeMap::new(),
            settled_departures: Vec::new(),
            running: BTreeMap::new(),
            log_lines: Vec::new(),
            approval_requests: Vec::new(),
            default_percent: 100,
            task_percent: BTreeMap::new(),
            paces: BTreeMap::new(),
            lease_extensions: Vec::new(),
            store_confirms: true,
            entries_support: true,
            automatic_heartbeats: true,
            heartbeating_minions: BTreeSet::new(),
            ended_tasks: BTreeMap::new(),
            gauges: BTreeMap::new(),
            last_result_number: 0,
            last_request_id: 0,
            fence: 1,
        }
    }

    /// Adds minions of 16 processors and 64 GB, linked and polled.
    pub fn with_minions(mut self, names: &[&str]) -> Self {
        for name in names {
            self.join(name, |info| info);
        }
        self
    }

    /// Returns a cluster in which the only step of job 1 is running, as far as there is capacity.
    pub fn with_running_job(minions: &[&str], step: StepSpec) -> Self {
        let mut cluster = Self::new().with_minions(minions);
        cluster.submit(1, vec![step]);
        cluster.carry_out_orders();
        cluster
    }

    pub fn advance(&mut self, ms: u64) {
        let mut remaining_ms = ms;
        while remaining_ms > 0 {
            let step = remaining_ms.min(100);
            self.now.steady_ms += step;
            self.now.wall_ms += step;
            remaining_ms -= step;
            if self.automatic_heartbeats && self.now.steady_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS)
            {
                self.heartbeating_minions.clone().iter().for_each(|minion| self.heartbeat(minion));
            }
            if self.store_confirms {
                self.coordinator.record_store_confirmation(self.now.steady_ms, self.now.steady_ms);
            }
            if self.entries_support {
                let until_ms = self.now.steady_ms + PROMISE_DURATION_MS;
                self.coordinator.set_supported_until(until_ms, SUPPORTERS);
            }
            self.coordinator.tick(self.now);
            self.process_effects();
        }
    }

    pub fn request(&mut self, request: CallerRequest) -> u64 {
        self.last_request_id += 1;
        self.coordinator.handle_request(self.last_request_id, request, self.now);
        self.process_effects();
        self.last_request_id
    }

    pub fn submit(&mut self, id: u64, steps: Vec<StepSpec>) -> u64 {
        self.submit_with_terms(id, steps, terms())
    }

    pub fn submit_with_terms(&mut self, id: u64, steps: Vec<StepSpec>, terms: QueueTerms) -> u64 {
        let spec = JobSpec { payload: "work".into(), steps, ..JobSpec::default() };
        self.request(CallerRequest::Submit { job: JobId(id), spec, terms })
    }

    pub fn response(&self, request_id: u64) -> Option<CallerResponse> {
        self.responses.get(&request_id).copied()
    }

    pub fn job_state(&mut self, id: u64) -> CallerResponse {
        let request_id = self.request(CallerRequest::State(JobId(id)));
        self.response(request_id).expect("job states are answered immediately")
    }

    /// Answers a request to the admission service with the approved minions, or reports it as
    /// failed.
    pub fn answer_approval(&mut self, request: &(TaskId, Vec<Name>), good: Option<&[&str]>) {
        let ticket = |minion: &&str| (Name::from(*minion), Name::from("t-1"));
        let response = good.map(|good| (good.iter().map(ticket).collect(), 3_000));
        self.coordinator.handle_approval(request.0, &request.1, response, self.now);
        self.process_effects();
    }

    /// Returns all running tasks with their minion and run, ordered by task.
    pub fn running_tasks(&self) -> Vec<(TaskId, Name, u32)> {
        let mut tasks: Vec<_> = self
            .running
            .iter()
            .flat_map(|(minion, runs)| runs.iter().map(|(t, r)| (*t, minion.clone(), *r)))
            .collect();
        tasks.sort();
        tasks
    }

    /// Loses the coordinator, and lets a successor take over from the store.
    pub fn take_over(&mut self) {
        self.take_over_with(&PredecessorLeases::default());
    }

    /// Lets a successor take over from a coordinator that may still be running without the store.
    pub fn take_over_from_silent(&mut self) {
        let leases = PredecessorLeases::default().after_takeover(
            Some((SILENT_COORDINATOR, self.fence)),
            SUCCESSOR,
            LEASE_MS,
        );
        self.take_over_with(&leases);
    }

    /// Lets a successor take over with the leases that its predecessors may have extended.
    pub fn take_over_with(&mut self, leases: &PredecessorLeases) {
        self.fence += 1;
        let records = self.store.iter().map(|(id, bytes)| {
            (*id, JobRecord::decode(bytes).expect("the stored record is valid"))
        });
        self.coordinator =
            Coordinator::new(self.fence, self.now)
                .with_lease_ms(LEASE_MS)
                .with_predecessor_leases(leases, self.now)
                .with_interference(&self.stored_interference.as_ref().map_or_else(
                    InterferenceSnapshot::default,
                    |bytes| {
                        InterferenceSnapshot::decode(bytes).expect("the stored snapshot is valid")
                    },
                ))
                .with_records(records.collect(), self.now);
        self.orders.clear();
        self.pending_writes.clear();
        self.heartbeating_minions.clear();
        self.process_effects();
    }
}

pub const COMPLETED: CallerResponse = CallerResponse::State(JobState::Completed);
