//! Tests of a coordinator whose admission service does not respond.

use std::sync::Arc;
use std::time::Duration;

use geraniumpost::batch::coordination::{
    ApprovalRequest, Driver, Input, Peer, SuccessorLeases, TermSupport,
};
use geraniumpost::batch::entry::ActiveConfiguration;
use geraniumpost::batch::{BootClock, FromPeer, ToPeer};
use geraniumpost::metrics::Metrics;
use geraniumpost_batch::quorum::Voters;
use geraniumpost_batch::{
    CallerRequest, Coordinator, Demand, FromAgent, JobId, JobSpec, MinionInfo, PollResult,
    PredecessorLeases, QueueTerms, StepSpec, WriteBatch,
};
use geraniumpost_net::{Connection, FrameReader, open_link};
use geraniumpost_schema::Name;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Time within which the coordinator acts on an input; it usually takes a millisecond.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Longer than a request to the admission service is awaited.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Capacity of the queue of inputs.
const INPUT_CAPACITY: usize = 4;
/// Number of inputs that the test sends at once.
const MANY_INPUTS: u64 = 50;
const LINK: u64 = 1;

/// A running driver, and the ends of its queues that other tasks hold.
struct Coordination {
    inputs: mpsc::Sender<Input>,
    writes: mpsc::Receiver<WriteBatch>,
    /// Requests that the admission service has not taken, or `None` if there is no service.
    approval_requests: Option<mpsc::Receiver<ApprovalRequest>>,
}

impl Coordination {
    /// Starts a coordinator with one minion, whose queue of approval requests has room for one.
    async fn start() -> Self {
        let (inputs, mut inputs_rx) = mpsc::channel(INPUT_CAPACITY);
        let (writes_tx, writes) = mpsc::channel(8);
        let (approval_requests_tx, approval_requests) = mpsc::channel(1);
        let now = BootClock.now();
        let metrics = Arc::new(Metrics::new().expect("metrics"));
        let driver = Driver::new(
            Coordinator::new(1, now).with_lease_ms(5_000),
            writes_tx,
            approval_requests_tx,
            Arc::new(SuccessorLeases::new(PredecessorLeases::default(), now.steady_ms)),
            Arc::new(TermSupport::new("entry-1".into(), 1, Voters::default())),
            Arc::new(ActiveConfiguration::new(Arc::clone(&metrics))),
            metrics,
        );
        tokio::spawn(async move { driver.run(&mut inputs_rx).await });
        let coordination = Self { inputs, writes, approval_requests: Some(approval_requests) };
        coordination.report_minion().await;
        coordination
    }

    async fn send(&self, input: Input) {
        let sent = tokio::time::timeout(TIMEOUT, self.inputs.send(input)).await;
        sent.expect("the coordinator takes inputs").expect("the term has not ended");
    }

    async fn report_minion(&self) {
        let (node, minion) = (Name::from("agent-1"), Name::from("m1"));
        let now_ms = BootClock.now_ms();
        self.send(Input::TermConfirmed { requested_ms: now_ms, received_ms: now_ms }).await;
        let (tx, _) = open_link::<ToPeer, FromPeer>(loopback().await, |_| {});
        self.send(Input::LinkOpened(Peer::Agent { node: node.clone(), link: LINK }, tx)).await;
        let info = MinionInfo {
            id: minion.clone(),
            service: "study".into(),
            capacity: Demand { milli_cpus: 64_000, memory_mb: 64_000, accelerators: 0 },
            ..MinionInfo::default()
        };
        let poll = PollResult { minion, running: Some(Vec::new()), ..PollResult::default() };
        for message in [
            FromAgent::Minion(info),
            FromAgent::Heartbeat { sent_at_ms: now_ms, minion_ok: true },
            FromAgent::PollResult(poll),
        ] {
            self.send(Input::AgentMessage { node: node.clone(), link: LINK, message }).await;
        }
    }

    /// Submits a job, and waits until its record is written.
    async fn submit(&mut self, id: u64) {
        let terms = QueueTerms {
            queue: "studies".into(),
            service: "study".into(),
            priority: 1,
            max_attempts: 2,
            stretch_percent: 200,
            target_ms: 500,
            needs_approval: true,
        };
        let demand = Demand { milli_cpus: 1_000, memory_mb: 1_000, accelerators: 0 };
        let step = StepSpec { count: 1, demand, estimate_ms: 1_000, ..StepSpec::default() };
        let spec = JobSpec { payload: "work".into(), steps: vec![step], ..JobSpec::default() };
        let request = CallerRequest::Submit { job: JobId(id), spec, terms };
        self.send(Input::Request { link: LINK, request_id: id, request }).await;
        let written = tokio::time::timeout(TIMEOUT, self.writes.recv()).await;
        let batch = written.expect("the record is written").expect("the term has not ended");
        assert!(batch.put.iter().any(|(job, _)| *job == JobId(id)));
        self.send(Input::BatchWritten(batch.number)).await;
    }
}

async fn loopback() -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (stream, _) = tokio::join!(TcpStream::connect(address), listener.accept());
    Connection::from(FrameReader::new(stream.expect("loopback")))
}

/// Guards against a coordinator that waits for a place in the queue of a silent admission service,
/// while the task of the service waits for a place in the queue of inputs: nothing would go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_admission_service_does_not_stop_the_coordinator() {
    let mut coordination = Coordination::start().await;
    coordination.submit(1).await;
    coordination.submit(2).await;
    // The requests are given up, and further ones are sent, until the queue is full.
    tokio::time::sleep(SILENCE + SILENCE).await;
    for id in 3..6 {
        coordination.submit(id).await;
    }
    for id in 0..MANY_INPUTS {
        let request = CallerRequest::State(JobId(1));
        coordination.send(Input::Request { link: LINK, request_id: 100 + id, request }).await;
    }
}

/// Guards against a coordinator that stops because the settings name no admission service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn missing_admission_service_does_not_stop_the_coordinator() {
    let mut coordination = Coordination::start().await;
    coordination.approval_requests = None;
    for id in 1..6 {
        coordination.submit(id).await;
    }
}
