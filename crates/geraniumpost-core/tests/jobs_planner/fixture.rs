//! A planner with a fake store, and builders of its messages.

use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{
    BUCKETS, Bucket, JobRecord, JobResponse, JobSpec, JobState, LeaseConfig, LeaseHolder,
    LeaseRole, Now, Planner, PlannerAction, PlannerConfig, PlannerEvent, Takeover, TermRecord,
    Transition, bucket_of,
};
use geraniumpost_core::placement::{Decision, Reason};
use geraniumpost_schema::{
    AgentState, Document, Heartbeat, Inventory, Load, Name, Resources, TaskReport, TaskState,
    ToAgent,
};

pub const AGENT_LEASE_MS: u64 = 10_000;
pub const STORE_OUTAGE_TOLERANCE_MS: u64 = 60_000;
pub const WORKER_LEASE_MS: u64 = 6_000;
pub const NEED: Resources = Resources { milli_cpus: 1_000, memory_mb: 100, accelerators: 0 };

pub fn config_document() -> Document {
    serde_json::from_value(serde_json::json!({
        "customers": {"entel": {"token_sha256": "0", "quota": {}}},
        "services": {}, "classes": {"study": {}}, "domains": {}, "operators": {}
    }))
    .expect("a valid document")
}

pub fn job_spec(job: &str) -> JobSpec {
    JobSpec {
        id: job.into(),
        customer: "entel".into(),
        class: "study".into(),
        need: NEED,
        command: String::new(),
    }
}

/// A planner of term 2 with a store that accepts every commit.
pub struct Fixture {
    pub planner: Planner,
    pub now: u64,
    pub sent: Vec<(Name, ToAgent)>,
    pub replies: Vec<JobResponse>,
    pub stepped_down: bool,
    pub commits: u64,
    pub reads: u64,
    pub bytes_written: usize,
}

impl Fixture {
    pub fn new(records: &[JobRecord]) -> Self {
        let config = LeaseConfig {
            outage_hold_ms: STORE_OUTAGE_TOLERANCE_MS,
            hold_ms: AGENT_LEASE_MS,
            ..Default::default()
        };
        let first = TermRecord::first(LeaseHolder::new("entry-1".into(), 1), &config);
        let second = first.next(LeaseHolder::new("entry-2".into(), 2), &config);
        let takeover = Takeover::new(&second, Millis(1_000));
        let mut planner = Planner::new(&takeover, PlannerConfig::default());
        planner.configure(&config_document());
        let mut fixture = Self {
            planner,
            now: 1_000,
            sent: Vec::new(),
            replies: Vec::new(),
            stepped_down: false,
            commits: 0,
            reads: 0,
            bytes_written: 0,
        };
        let reads = fixture.actions_for(PlannerEvent::Tick);
        assert_eq!(reads.len(), BUCKETS);
        for bucket in 0..BUCKETS {
            let mut stored = Bucket::default();
            for record in records.iter().filter(|record| bucket_of(record.id()) == bucket) {
                stored.put(record.clone());
            }
            let found = Some((7, stored.encode(1, 3)));
            fixture.handle(PlannerEvent::ReadDone { bucket, found });
        }
        assert!(fixture.planner.is_ready());
        fixture
    }

    pub fn clocks(&self) -> Now {
        Now::new(Millis(self.now), 1_000_000 + self.now, 7)
    }

    /// Handles an event without performing the resulting actions.
    pub fn actions_for(&mut self, event: PlannerEvent) -> Vec<PlannerAction> {
        self.planner.handle(event, LeaseRole::Leader { term: 2 }, self.clocks())
    }

    /// Handles an event and performs the resulting actions.
    pub fn handle(&mut self, event: PlannerEvent) {
        let actions = self.actions_for(event);
        self.perform(actions);
    }

    pub fn perform(&mut self, actions: Vec<PlannerAction>) {
        for action in actions {
            match action {
                PlannerAction::Commit { bucket, value, .. } => {
                    self.commits += 1;
                    self.bytes_written += value.len();
                    let done = PlannerEvent::CommitDone { bucket, revision: 8 + self.commits };
                    self.handle(done);
                }
                PlannerAction::Send { agent, frame } => self.sent.push((agent, frame)),
                PlannerAction::Reply { response, .. } => self.replies.push(response),
                PlannerAction::StepDown(_) => self.stepped_down = true,
                PlannerAction::Read { .. } => self.reads += 1,
                _ => {}
            }
        }
    }

    pub fn tick_at(&mut self, now: u64) {
        self.now = now;
        self.handle(PlannerEvent::Tick);
    }

    pub fn send_heartbeat(&mut self, agent: &str) {
        let message = heartbeat(agent);
        let leader = LeaseRole::Leader { term: 2 };
        let granted = self.planner.heartbeat(&message, AGENT_LEASE_MS, leader, Millis(self.now));
        assert_eq!(granted, (2, AGENT_LEASE_MS));
    }

    pub fn connect_agent(&mut self, agent: &str, tasks: Vec<TaskReport>) {
        let agent = Name::from(agent);
        self.handle(PlannerEvent::LinkUp { agent: agent.clone(), incarnation: 5 });
        let inventory = Inventory { incarnation: 5, term: 2, tasks };
        self.handle(PlannerEvent::Inventory { agent, inventory });
    }

    pub fn report(&mut self, agent: &str, report: TaskReport) {
        self.handle(PlannerEvent::Report { agent: agent.into(), report });
    }

    pub fn assign(&mut self, job: &str, worker: &str) {
        let start = Decision::Start {
            job: job.into(),
            worker: worker.into(),
            need: NEED,
            score: 0.0,
            reason: Reason::AwaitingWorkers,
        };
        let leader = LeaseRole::Leader { term: 2 };
        let actions = self.planner.place(leader, self.clocks(), |_, _, _| vec![start]);
        self.perform(actions);
    }

    pub fn job_state(&self, job: &str) -> (JobState, u64) {
        let record = self.planner.job(job).expect("known job").record;
        (record.state(), record.epoch())
    }
}

pub fn heartbeat(agent: &str) -> Heartbeat {
    Heartbeat {
        agent: agent.into(),
        incarnation: 5,
        sequence: 1,
        service: Name::default(),
        region: "lima".into(),
        domain: "surco".into(),
        rack: "rack-1".into(),
        address: Name::default(),
        state: AgentState::Ready,
        slots: 0,
        load: Load { in_flight: 0, queued: 0, service_us: 0, p99_us: 0, failures_permille: 0 },
        config_revision: 1,
        entries_digest: 0,
        term: 2,
        has_worker: true,
        capacity: Resources { milli_cpus: 64_000, memory_mb: 64_000, accelerators: 0 },
        reserved: Resources::default(),
        tasks: 0,
    }
}

pub fn report(job: &str, epoch: u64, state: TaskState) -> TaskReport {
    TaskReport {
        job: job.into(),
        epoch,
        state,
        checkpoint: Name::default(),
        result: "result".to_owned(),
        usage: Resources::default(),
    }
}

pub fn assigned_record(job: &str) -> JobRecord {
    let mut record = JobRecord::new(job_spec(job), 1);
    record.apply(Transition::Assign { worker: "agent-1".into() }, 2).expect("pending");
    record
}
