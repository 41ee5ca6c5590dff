//! A coordinator with a store, agents and minions, which a test drives step by step.
//!
//! [`Cluster::advance`] only advances the clock, sends heartbeats and confirms the coordinator's
//! term. A test decides when minions join, are polled and carry out orders, so that it can delay
//! each of these. In a [`Simulation`](crate::simulation::Simulation) these happen automatically.

mod agents;
mod effects;
mod fixtures;
mod orders;
mod store_faults;

pub use fixtures::{agent_name, labelled_step, minion_info, persistent_step, step, task, terms};

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use geraniumpost_batch::tuning::PROMISE_DURATION_MS;
use geraniumpost_batch::{
    CallerRequest, CallerResponse, Coordinator, EndedTask, EvacuationReading, Feature, Features,
    InterferenceSnapshot, JobId, JobRecord, JobSpec, JobState, Now, Order, PredecessorLeases,
    QueueTerms, StepSpec, TaskId, WriteBatch,
};
use geraniumpost_schema::Name;

/// Duration of leases in these tests, in milliseconds.
pub const LEASE_MS: u64 = 5_000;

/// Number of entries that support the coordinator, without the coordinator itself.
const SUPPORTER_COUNT: usize = 2;
/// Interval between heartbeats of an agent, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Address of a predecessor that stopped responding without reporting the end of its term.
pub const SILENT_COORDINATOR_ADDRESS: SocketAddr =
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// Address of the successor of [`SILENT_COORDINATOR_ADDRESS`].
const SUCCESSOR_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 2);

/// A coordinator, and the state of the store, agents and minions that it communicates with.
pub struct Cluster {
    pub coordinator: Coordinator,
    /// Optional decisions of the coordinator and its successors.
    features: Features,
    pub now: Now,
    /// Encoded job records that were written.
    pub store: BTreeMap<JobId, Vec<u8>>,
    /// Encoded interference snapshot that was written last.
    pub stored_interference: Option<Vec<u8>>,
    /// Writes that are held back, to be applied and confirmed later.
    pub pending_writes: Vec<WriteBatch>,
    /// Whether writes are applied and confirmed at once.
    pub confirm_writes: bool,
    /// Responses to callers by request id.
    pub responses: BTreeMap<u64, CallerResponse>,
    /// Orders that were sent and that no minion has received yet, oldest first.
    pub orders: Vec<Order>,
    /// Sequence number of the last acknowledged end, by minion.
    pub acknowledged: BTreeMap<Name, u64>,
    /// Departed minions whose departure the coordinator has recorded, so that agents may drop it.
    pub settled_departures: Vec<Name>,
    /// Run number of each running task, by minion.
    pub running: BTreeMap<Name, BTreeMap<TaskId, u32>>,
    pub log_lines: Vec<String>,
    /// Approval requests to the admission service: a task that identifies the step, and the
    /// candidate minions.
    pub approval_requests: Vec<(TaskId, Vec<Name>)>,
    /// Progress that minions report for tasks that are not in `task_percent`, in percent.
    pub default_percent: u8,
    /// Progress that minions report for a task, in percent.
    pub task_percent: BTreeMap<TaskId, u8>,
    /// Pace at which each task was last ordered to run, in percent. A task that is missing runs at
    /// full speed.
    pub paces: BTreeMap<TaskId, u8>,
    /// Whether agents set the pace that a start order carries; agents of earlier versions do not.
    pub agents_know_first_pace: bool,
    /// Lease extensions sent to agents: the agent, the time at which it sent its heartbeat, and the
    /// duration in milliseconds, which is 0 if the lease is not extended.
    pub lease_extensions: Vec<(Name, u64, u64)>,
    /// Whether [`Cluster::advance`] lets the store confirm the coordinator's term.
    pub store_confirms: bool,
    /// Whether [`Cluster::advance`] renews the support of a majority of entries.
    pub entries_support: bool,
    /// Whether [`Cluster::advance`] sends heartbeats of the agents of `heartbeating_minions`.
    pub automatic_heartbeats: bool,
    /// Minions whose agents have sent a heartbeat with `minion_ok`, until the minion terminates or
    /// becomes unresponsive, the link closes, or a test stops the heartbeats.
    heartbeating_minions: BTreeSet<String>,
    /// Ended runs that minions list, oldest first, including acknowledged ones.
    ended_tasks: BTreeMap<Name, Vec<EndedTask>>,
    measurements: BTreeMap<TaskId, u32>,
    /// Number of order results reported by agents since the last restart of an agent.
    last_result_number: u64,
    last_request_id: u64,
    /// Fencing token of the current coordinator.
    fence: u64,
    /// Time within which the last task may start in an evacuated failure domain, in milliseconds;
    /// `None` if domains are not evacuated.
    evacuation_bound_ms: Option<u64>,
    /// Revision of the store as of the last reading of the evacuated domains.
    evacuations_revision: u64,
}

impl Cluster {
    pub fn new() -> Self {
        let now = Now { steady_ms: 100_000, wall_ms: 1_000_000 };
        Self {
            coordinator: Coordinator::new(1, now).with_lease_ms(LEASE_MS),
            features: Features::default(),
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
            agents_know_first_pace: true,
            lease_extensions: Vec::new(),
            store_confirms: true,
            entries_support: true,
            automatic_heartbeats: true,
            heartbeating_minions: BTreeSet::new(),
            ended_tasks: BTreeMap::new(),
            measurements: BTreeMap::new(),
            last_result_number: 0,
            last_request_id: 0,
            fence: 1,
            evacuation_bound_ms: None,
            evacuations_revision: 0,
        }
    }

    /// Switches features on. Must be called before anything else happens.
    pub fn with_features(mut self, features: &[Feature]) -> Self {
        self.features = features.iter().copied().collect();
        self.coordinator =
            Coordinator::new(1, self.now).with_lease_ms(LEASE_MS).with_features(self.features);
        self
    }

    /// Lets operators evacuate failure domains. Nothing is started before the first
    /// [`Cluster::read_evacuations`].
    pub fn with_evacuation_bound_ms(mut self, bound_ms: u64) -> Self {
        self.evacuation_bound_ms = Some(bound_ms);
        self.coordinator = Coordinator::new(1, self.now)
            .with_lease_ms(LEASE_MS)
            .with_features(self.features)
            .with_evacuation_bound_ms(Some(bound_ms));
        self
    }

    /// Lets the coordinator read that exactly these failure domains are evacuated.
    pub fn read_evacuations(&mut self, domains: &[&str]) {
        self.evacuations_revision += 1;
        let revision = self.evacuations_revision;
        let domains = domains.iter().map(|domain| (Name::from(*domain), 1)).collect();
        let reading = EvacuationReading { revision, domains };
        self.coordinator.handle_evacuations(reading, self.now.steady_ms, self.now);
        self.process_effects();
    }

    /// Adds minions with 16 processors and 64 GB each, whose agents are linked and have polled
    /// them.
    pub fn with_minions(mut self, names: &[&str]) -> Self {
        for name in names {
            self.join(name, |info| info);
        }
        self
    }

    /// Returns a cluster in which as many tasks of `step` are running as the minions have capacity
    /// for. The step belongs to job 1.
    pub fn with_running_job(minions: &[&str], step: StepSpec) -> Self {
        let mut cluster = Self::new().with_minions(minions);
        cluster.submit(1, vec![step]);
        cluster.carry_out_orders();
        cluster
    }

    /// Advances the clock by `ms` milliseconds, with a tick of the coordinator each 100 ms.
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
                self.coordinator.set_supported_until(until_ms, SUPPORTER_COUNT);
            }
            self.coordinator.tick(self.now);
            self.process_effects();
        }
    }

    /// Sends a caller's request to the coordinator. Returns its request id.
    pub fn request(&mut self, request: CallerRequest) -> u64 {
        self.last_request_id += 1;
        self.coordinator.handle_request(self.last_request_id, request, self.now);
        self.process_effects();
        self.last_request_id
    }

    /// Submits a job with the default queue terms. Returns the request id.
    pub fn submit(&mut self, id: u64, steps: Vec<StepSpec>) -> u64 {
        self.submit_with_terms(id, steps, terms())
    }

    pub fn submit_with_terms(&mut self, id: u64, steps: Vec<StepSpec>, terms: QueueTerms) -> u64 {
        let spec = JobSpec { payload: "work".into(), steps, ..JobSpec::default() };
        self.request(CallerRequest::Submit { job: JobId(id), spec, terms })
    }

    /// Returns the response to a request, or `None` if the coordinator has not responded yet.
    pub fn response(&self, request_id: u64) -> Option<CallerResponse> {
        self.responses.get(&request_id).copied()
    }

    pub fn job_state(&mut self, id: u64) -> CallerResponse {
        let request_id = self.request(CallerRequest::State(JobId(id)));
        self.response(request_id).expect("the coordinator responds to state requests at once")
    }

    /// Responds to an approval request with the minions `approved`, or reports the request as
    /// failed if `approved` is `None`.
    pub fn respond_to_approval_request(
        &mut self,
        request: &(TaskId, Vec<Name>),
        approved: Option<&[&str]>,
    ) {
        let ticket = |minion: &&str| (Name::from(*minion), Name::from("t-1"));
        let response = approved.map(|approved| (approved.iter().map(ticket).collect(), 3_000));
        self.coordinator.handle_approval(request.0, &request.1, response, self.now);
        self.process_effects();
    }

    /// Returns all running tasks with their minions and run numbers, ordered by task.
    pub fn running_tasks(&self) -> Vec<(TaskId, Name, u32)> {
        let mut tasks: Vec<_> = self
            .running
            .iter()
            .flat_map(|(minion, runs)| runs.iter().map(|(t, r)| (*t, minion.clone(), *r)))
            .collect();
        tasks.sort();
        tasks
    }

    /// Replaces the coordinator by a successor that restores its state from the store. The
    /// predecessor is known to have ended.
    pub fn take_over(&mut self) {
        self.take_over_with(&PredecessorLeases::default());
    }

    /// Lets a successor take over from a silent coordinator, which may still be running without
    /// access to the store and extending leases.
    pub fn take_over_from_silent_coordinator(&mut self) {
        let leases = PredecessorLeases::default().after_takeover(
            Some((SILENT_COORDINATOR_ADDRESS, self.fence)),
            SUCCESSOR_ADDRESS,
            LEASE_MS,
        );
        self.take_over_with(&leases);
    }

    /// Lets a successor take over and wait for the expiry of `leases`, which earlier coordinators
    /// may have extended. Orders in flight and pending writes are lost.
    pub fn take_over_with(&mut self, leases: &PredecessorLeases) {
        self.fence += 1;
        let records = self.store.iter().map(|(id, bytes)| {
            (*id, JobRecord::decode(bytes).expect("the stored record is valid"))
        });
        self.coordinator =
            Coordinator::new(self.fence, self.now)
                .with_lease_ms(LEASE_MS)
                .with_features(self.features)
                .with_evacuation_bound_ms(self.evacuation_bound_ms)
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
