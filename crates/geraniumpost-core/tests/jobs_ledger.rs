//! The agent's ledger of its VM: single failures, and a comparison with a reference ledger.

use std::collections::{BTreeMap, BTreeSet};

use assert_matches::assert_matches;
use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{LedgerAction, LedgerConfig, LedgerEvent, VmLedger, WorkerTask};
use geraniumpost_schema::{HeartbeatAck, Name, Resources, StartTask, TaskRef, TaskState};
use proptest::prelude::*;

const CAPACITY: Resources = Resources { milli_cpus: 4_000, memory_mb: 4_000, accelerators: 1 };
const AGENT_LEASE_MS: u64 = 10_000;

struct Fixture {
    ledger: VmLedger,
    now: u64,
    heartbeats: u64,
}

impl Fixture {
    /// A ledger that has adopted an idle worker and has an agent lease under term 1.
    fn ready() -> Self {
        let mut fixture = Self::new();
        fixture.receive_list(&[]);
        fixture.now += 2_000;
        fixture.receive_list(&[]);
        fixture.extend_lease(1);
        fixture
    }

    fn new() -> Self {
        let ledger = VmLedger::new(7, CAPACITY, LedgerConfig::default());
        Self { ledger, now: 1_000, heartbeats: 0 }
    }

    fn handle(&mut self, event: LedgerEvent) -> Vec<LedgerAction> {
        self.ledger.handle(event, Millis(self.now))
    }

    fn receive_list(&mut self, tasks: &[WorkerTask]) -> Vec<LedgerAction> {
        self.handle(LedgerEvent::Listed { requested_at: Millis(self.now), tasks: tasks.to_vec() })
    }

    fn send_heartbeat(&mut self) -> u64 {
        self.heartbeats += 1;
        self.handle(LedgerEvent::HeartbeatSent(self.heartbeats));
        self.heartbeats
    }

    fn receive_ack(&mut self, sequence: u64, term: u64) {
        self.handle(LedgerEvent::Ack(HeartbeatAck {
            entry: Name::default(),
            sequence,
            incarnation: 7,
            config_revision: 0,
            term,
            hold_ms: AGENT_LEASE_MS,
            entries_digest: 0,
            entries: Vec::new(),
        }));
    }

    fn extend_lease(&mut self, term: u64) {
        let sequence = self.send_heartbeat();
        self.receive_ack(sequence, term);
    }

    fn order_start(
        &mut self,
        term: u64,
        job: &str,
        epoch: u64,
        milli_cpus: u64,
    ) -> Vec<LedgerAction> {
        let need = Resources { milli_cpus, memory_mb: 100, accelerators: 0 };
        self.handle(LedgerEvent::Start(StartTask {
            term,
            job: job.into(),
            epoch,
            customer: "entel".into(),
            class: "study".into(),
            need,
            command: String::new(),
            checkpoint: Name::default(),
        }))
    }

    fn start_task(&mut self, job: &str, epoch: u64) {
        assert!(contains_start(&self.order_start(1, job, epoch, 1_000)), "{job} should start");
        self.handle(LedgerEvent::Started { job: job.into(), epoch });
    }
}

fn task_ref(term: u64, job: &str, epoch: u64) -> TaskRef {
    TaskRef { term, job: job.into(), epoch }
}

fn running_task(job: &str, epoch: u64) -> WorkerTask {
    WorkerTask {
        job: job.into(),
        epoch,
        state: TaskState::Running,
        checkpoint: Name::default(),
        result: String::new(),
        usage: Resources::default(),
    }
}

fn contains_start(actions: &[LedgerAction]) -> bool {
    actions.iter().any(|action| matches!(action, LedgerAction::Start(_)))
}

fn reported_states(actions: &[LedgerAction]) -> Vec<TaskState> {
    let state = |action: &LedgerAction| match action {
        LedgerAction::Report(report) => Some(report.state),
        _ => None,
    };
    actions.iter().filter_map(state).collect()
}

// The response to a heartbeat is delayed in the network for almost the whole lease of 10 s. If the
// lease counted from its arrival, the agent would continue a task that the planner has already
// assigned to another VM.
#[test]
fn an_agent_lease_counts_from_when_the_heartbeat_was_sent() {
    let mut fixture = Fixture::ready();
    fixture.start_task("study-1", 1);
    let sequence = fixture.send_heartbeat();
    fixture.now += AGENT_LEASE_MS - 1;
    fixture.send_heartbeat();
    fixture.receive_ack(sequence, 1);
    assert!(fixture.ledger.may_run(Millis(fixture.now)));
    fixture.now += 1;
    assert!(!fixture.ledger.may_run(Millis(fixture.now)));
    let actions = fixture.handle(LedgerEvent::Tick);
    assert!(actions.iter().any(|action| matches!(action, LedgerAction::Stop { .. })));
    assert!(!actions.iter().any(|action| matches!(action, LedgerAction::Renew { .. })));
}

// A start order is delayed on an abandoned connection and arrives when its run has ended and was
// settled. Without the recorded epoch the job would run a second time.
#[test]
fn a_start_delayed_past_the_end_of_its_run_is_ignored() {
    let mut fixture = Fixture::ready();
    fixture.start_task("study-1", 1);
    let done = WorkerTask { state: TaskState::Done, ..running_task("study-1", 1) };
    fixture.now += 10;
    fixture.receive_list(&[done]);
    let settled = fixture.handle(LedgerEvent::Settled(task_ref(1, "study-1", 1)));
    assert_matches!(&settled[..], [LedgerAction::Forget { .. }]);
    assert!(!contains_start(&fixture.order_start(1, "study-1", 1, 1_000)));
    assert_eq!(fixture.ledger.counters().stale_epochs, 1);
}

// The planner stops a run whose start order is still in transit, and the agent reports that it does
// not have the run. If the agent accepted the start later, the job would run on two VMs.
#[test]
fn a_run_stopped_before_its_start_arrives_never_starts() {
    let mut fixture = Fixture::ready();
    let actions = fixture.handle(LedgerEvent::Stop(task_ref(1, "study-1", 3)));
    assert_eq!(reported_states(&actions), [TaskState::Stopped]);
    for epoch in 1..=3 {
        assert!(!contains_start(&fixture.order_start(1, "study-1", epoch, 1_000)), "epoch {epoch}");
    }
    assert!(contains_start(&fixture.order_start(1, "study-1", 4, 1_000)));
}

// The agent process crashes just after it called the worker to start a task. Its successor lists
// the tasks before that call arrives. If this list were sent as the inventory, the planner would
// start the job on another VM as well.
#[test]
fn a_restarted_agent_waits_for_starts_in_transit_before_its_inventory() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.handle(LedgerEvent::Supersede(1)), [], "no list has been read yet");
    fixture.receive_list(&[]);
    fixture.extend_lease(1);
    assert_eq!(fixture.handle(LedgerEvent::Supersede(1)), []);
    assert!(!contains_start(&fixture.order_start(1, "study-2", 1, 1_000)));
    fixture.now += 1_000;
    let actions = fixture.receive_list(&[running_task("study-1", 1)]);
    let inventory = actions.iter().find_map(|action| match action {
        LedgerAction::Inventory(inventory) => Some(inventory),
        _ => None,
    });
    assert_eq!(inventory.expect("the inventory is due").tasks[0].job.as_str(), "study-1");
}

// An agent adopts a task whose declared size the worker does not report, and whose measured usage
// is still low. A second task that fits in addition to this usage would overcommit the VM.
#[test]
fn no_task_starts_beside_an_adopted_task_of_unknown_size() {
    let mut fixture = Fixture::new();
    fixture.receive_list(&[running_task("study-1", 1)]);
    fixture.now += 1_000;
    fixture.receive_list(&[running_task("study-1", 1)]);
    fixture.extend_lease(1);
    assert!(!contains_start(&fixture.order_start(1, "study-2", 1, 2_000)));
    fixture.order_start(1, "study-1", 1, 3_000);
    assert_eq!(fixture.ledger.reserved().milli_cpus, 3_000);
    let refused = fixture.order_start(1, "study-2", 1, 2_000);
    assert_eq!(reported_states(&refused), [TaskState::Refused]);
}

// A planner that was paused resumes after another has taken over, and still sends orders. If the
// agent accepted them, two planners would assign the same jobs.
#[test]
fn orders_and_acks_of_a_superseded_planner_are_ignored() {
    let mut fixture = Fixture::ready();
    fixture.start_task("study-1", 1);
    fixture.handle(LedgerEvent::Supersede(2));
    assert!(!contains_start(&fixture.order_start(1, "study-2", 1, 100)));
    assert_eq!(fixture.handle(LedgerEvent::Stop(task_ref(1, "study-1", 1))), []);
    assert_eq!(fixture.handle(LedgerEvent::Evict(task_ref(1, "study-1", 1))), []);
    fixture.extend_lease(1);
    fixture.now += AGENT_LEASE_MS;
    assert!(!fixture.ledger.may_run(Millis(fixture.now)), "its leases are ignored as well");
    assert!(fixture.ledger.counters().stale_terms >= 4);
}

// A new agent process knows no term. An order in transit from a planner that was superseded long
// ago would start a job that runs on another VM.
#[test]
fn a_start_requires_an_agent_lease_of_the_same_term() {
    let mut fixture = Fixture::ready();
    fixture.handle(LedgerEvent::Supersede(2));
    assert!(!contains_start(&fixture.order_start(2, "study-1", 1, 100)), "the lease is of term 1");
    fixture.extend_lease(2);
    assert!(contains_start(&fixture.order_start(2, "study-1", 1, 100)));
}

// The worker's response to a start is lost, and the planner cancels the job. The worker's "no such
// task" is not conclusive: the start may still arrive, and the job would run after its end was
// recorded.
#[test]
fn a_stop_waits_for_a_start_that_may_still_arrive() {
    let mut fixture = Fixture::ready();
    let stops = |actions: &[LedgerAction]| {
        actions.iter().any(|action| matches!(action, LedgerAction::Stop { .. }))
    };
    assert!(contains_start(&fixture.order_start(1, "study-1", 1, 100)));
    assert_eq!(fixture.handle(LedgerEvent::Stop(task_ref(1, "study-1", 1))), []);
    fixture.now += 2_000;
    assert!(!stops(&fixture.handle(LedgerEvent::Tick)), "the start call is still open");
    fixture.handle(LedgerEvent::StartUncertain { job: "study-1".into(), epoch: 1 });
    let stopped = || LedgerEvent::Stopped { job: "study-1".into(), epoch: 1 };
    assert_eq!(fixture.handle(stopped()), []);
    fixture.now += 999;
    assert!(!stops(&fixture.handle(LedgerEvent::Tick)), "the start may still arrive");
    fixture.now += 1;
    assert!(stops(&fixture.handle(LedgerEvent::Tick)));
    assert_eq!(reported_states(&fixture.handle(stopped())), [TaskState::Stopped]);
}

// The worker's response to a start is lost, and the start is retried. The worker refuses the retry
// but may still accept the first call: if the refusal were final, the job would be started on
// another VM and then run on both.
#[test]
fn a_refused_start_retry_waits_for_the_first_call() {
    let mut fixture = Fixture::ready();
    let stops = |actions: &[LedgerAction]| {
        actions.iter().any(|action| matches!(action, LedgerAction::Stop { .. }))
    };
    assert!(contains_start(&fixture.order_start(1, "study-1", 1, 100)));
    fixture.now += 700;
    fixture.handle(LedgerEvent::StartUncertain { job: "study-1".into(), epoch: 1 });
    fixture.now += 300;
    assert!(contains_start(&fixture.handle(LedgerEvent::Tick)), "the start is retried");
    let refused = || LedgerEvent::StartRefused {
        job: "study-1".into(),
        epoch: 1,
        reason: "nothing listens".into(),
    };
    assert_eq!(reported_states(&fixture.handle(refused())), []);
    fixture.now += 699;
    assert!(!stops(&fixture.handle(LedgerEvent::Tick)), "the first call may still arrive");
    fixture.now += 1;
    assert!(stops(&fixture.handle(LedgerEvent::Tick)));
    let stopped = LedgerEvent::Stopped { job: "study-1".into(), epoch: 1 };
    assert_eq!(reported_states(&fixture.handle(stopped)), [TaskState::Refused]);
}

// The planner stops the run between the retry of a start and its refusal. As the refusal does not
// concern the first call, the run must not be reported as stopped until that call can no longer
// arrive.
#[test]
fn a_stop_waits_for_the_first_start_call_when_the_retry_is_refused() {
    let mut fixture = Fixture::ready();
    fixture.order_start(1, "study-1", 1, 100);
    fixture.now += 700;
    fixture.handle(LedgerEvent::StartUncertain { job: "study-1".into(), epoch: 1 });
    fixture.now += 300;
    assert!(contains_start(&fixture.handle(LedgerEvent::Tick)), "the start is retried");
    fixture.handle(LedgerEvent::Stop(task_ref(1, "study-1", 1)));
    let reason = "nothing listens".into();
    let refused = LedgerEvent::StartRefused { job: "study-1".into(), epoch: 1, reason };
    assert_eq!(reported_states(&fixture.handle(refused)), []);
    fixture.now += 700;
    fixture.handle(LedgerEvent::Tick);
    let stopped = LedgerEvent::Stopped { job: "study-1".into(), epoch: 1 };
    assert_eq!(reported_states(&fixture.handle(stopped)), [TaskState::Stopped]);
}

// If no response was lost, a refusal is final. A delayed report would keep the job from being
// started on another VM.
#[test]
fn a_refused_start_is_reported_at_once() {
    let mut fixture = Fixture::ready();
    fixture.order_start(1, "study-1", 1, 100);
    let reason = "nothing listens".into();
    let refused = LedgerEvent::StartRefused { job: "study-1".into(), epoch: 1, reason };
    assert_eq!(reported_states(&fixture.handle(refused)), [TaskState::Refused]);
}

// The planner cancels while the start call to the worker is open. A list that was requested before
// the start took effect does not contain the task, which does not prove that the task has ended.
#[test]
fn a_list_requested_before_the_start_does_not_end_the_run() {
    let mut fixture = Fixture::ready();
    assert!(contains_start(&fixture.order_start(1, "study-1", 1, 100)));
    fixture.handle(LedgerEvent::Stop(task_ref(1, "study-1", 1)));
    fixture.now += 10;
    let requested_at = Millis(fixture.now);
    fixture.now += 10;
    let started = LedgerEvent::Started { job: "study-1".into(), epoch: 1 };
    assert_matches!(&fixture.handle(started)[..], [LedgerAction::Stop { .. }]);
    assert_eq!(fixture.handle(LedgerEvent::Listed { requested_at, tasks: Vec::new() }), []);
    fixture.now += 10;
    assert_eq!(reported_states(&fixture.receive_list(&[])), [TaskState::Stopped]);
}

// A start that was assumed lost takes effect after the ledger has ended the run. The planner does
// not know of the task, which would occupy the VM without limit if the agent did not stop it.
#[test]
fn a_listed_task_of_a_stopped_run_is_stopped() {
    let mut fixture = Fixture::ready();
    fixture.handle(LedgerEvent::Stop(task_ref(1, "study-1", 1)));
    let actions = fixture.receive_list(&[running_task("study-1", 1)]);
    assert_matches!(&actions[..], [LedgerAction::Stop { epoch: 1, .. }]);
}

// The worker fails three times to write the checkpoint of an eviction. The task must still release
// the VM for urgent work, and its report must name the last checkpoint that was written.
#[test]
fn an_eviction_uses_the_last_checkpoint_if_new_ones_fail() {
    let mut fixture = Fixture::ready();
    fixture.start_task("study-1", 1);
    fixture.now += 10;
    let with_checkpoint = WorkerTask { checkpoint: "cp-1".into(), ..running_task("study-1", 1) };
    fixture.receive_list(&[with_checkpoint]);
    fixture.handle(LedgerEvent::Evict(task_ref(1, "study-1", 1)));
    let failed = || LedgerEvent::CheckpointFailed { job: "study-1".into(), epoch: 1 };
    assert_matches!(&fixture.handle(failed())[..], [LedgerAction::Checkpoint { .. }]);
    assert_matches!(&fixture.handle(failed())[..], [LedgerAction::Checkpoint { .. }]);
    assert_matches!(&fixture.handle(failed())[..], [LedgerAction::Stop { .. }]);
    let end = fixture.handle(LedgerEvent::Stopped { job: "study-1".into(), epoch: 1 });
    assert_matches!(&end[..], [LedgerAction::Report(report)]
        if report.state == TaskState::Evicted && report.checkpoint.as_str() == "cp-1");
}

fn checkpoint_count(actions: &[LedgerAction]) -> usize {
    actions.iter().filter(|action| matches!(action, LedgerAction::Checkpoint { .. })).count()
}

// Both entries are replaced at once and no planner extends the agent lease, so the task is stopped.
// Without a checkpoint it would start from the beginning and miss its deadline.
#[test]
fn a_task_is_checkpointed_before_the_agent_lease_expires() {
    let mut fixture = Fixture::ready();
    fixture.start_task("study-1", 1);
    fixture.now += 5_000;
    fixture.extend_lease(1);
    assert_eq!(checkpoint_count(&fixture.handle(LedgerEvent::Tick)), 0);
    fixture.now += AGENT_LEASE_MS - 1_000;
    assert_eq!(checkpoint_count(&fixture.handle(LedgerEvent::Tick)), 1);
    fixture.now += 100;
    assert_eq!(checkpoint_count(&fixture.handle(LedgerEvent::Tick)), 0, "only once");
    let written =
        LedgerEvent::Checkpointed { job: "study-1".into(), epoch: 1, checkpoint: "cp-1".into() };
    fixture.handle(written);
    fixture.now += 2_000;
    let mut actions = fixture.handle(LedgerEvent::Tick);
    assert!(actions.iter().any(|action| matches!(action, LedgerAction::Stop { .. })));
    actions.extend(fixture.handle(LedgerEvent::Stopped { job: "study-1".into(), epoch: 1 }));
    let expired = actions.iter().find_map(|action| match action {
        LedgerAction::Report(report) if report.state == TaskState::Lapsed => Some(report),
        _ => None,
    });
    assert_eq!(expired.expect("the expiry is reported").checkpoint.as_str(), "cp-1");
}

// A VM fails without notice. The work that its tasks did since their last checkpoint is lost, so
// tasks must be checkpointed regularly.
#[test]
fn a_long_task_is_checkpointed_every_two_minutes() {
    let mut fixture = Fixture::ready();
    fixture.start_task("study-1", 1);
    let mut written = 0;
    for _ in 0..600 {
        fixture.now += 1_000;
        fixture.extend_lease(1);
        written += checkpoint_count(&fixture.handle(LedgerEvent::Tick));
    }
    assert_eq!(written, 5, "one every two minutes");
}

/// An order, worker response or usage report; the first number selects the job. `Start` also has
/// the epoch and the size in thousandths of a processor, `Usage` the used size.
#[derive(Debug, Clone)]
enum Operation {
    Start(u8, u64, u64),
    Started(u8),
    Done(u8),
    Settle(u8),
    Stop(u8),
    Stopped(u8),
    Usage(u8, u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    let job = 0..5_u8;
    prop_oneof![
        4 => (job.clone(), 1..4_u64, 1..3_000_u64).prop_map(|(j, e, c)| Operation::Start(j, e, c)),
        2 => job.clone().prop_map(Operation::Started),
        2 => job.clone().prop_map(Operation::Done),
        2 => job.clone().prop_map(Operation::Settle),
        1 => job.clone().prop_map(Operation::Stop),
        1 => job.clone().prop_map(Operation::Stopped),
        2 => (job, 1..3_500_u64).prop_map(|(j, c)| Operation::Usage(j, c)),
    ]
}

/// Reference model: the epoch and size of the live task of each job, and the job and epoch of every
/// run that must not start again.
#[derive(Default)]
struct ReferenceLedger {
    live_tasks: BTreeMap<u8, (u64, u64)>,
    known_runs: BTreeSet<(u8, u64)>,
}

impl ReferenceLedger {
    fn start(&mut self, job: u8, epoch: u64, size: u64) -> bool {
        if self.known_runs.iter().any(|&(other, known)| other == job && known >= epoch) {
            return false;
        }
        if self.live_tasks.contains_key(&job) {
            return false;
        }
        self.known_runs.insert((job, epoch));
        let allocated: u64 = self.live_tasks.values().map(|(_, size)| size).sum();
        let fits = allocated + size <= CAPACITY.milli_cpus;
        if fits {
            self.live_tasks.insert(job, (epoch, size));
        }
        fits
    }
}

proptest! {
    #[test]
    fn the_ledger_matches_the_reference_ledger(
        operations in prop::collection::vec(operation(), 0..80),
    ) {
        let mut fixture = Fixture::ready();
        let mut reference = ReferenceLedger::default();
        for operation in operations {
            fixture.now += 1_100;
            fixture.extend_lease(1);
            let name = |job: u8| Name::from(format!("job-{job}"));
            let latest_epoch = |reference: &ReferenceLedger, job: u8| {
                let known_runs = reference.known_runs.iter().filter(|(other, _)| *other == job);
                known_runs.map(|(_, epoch)| *epoch).max().unwrap_or(1)
            };
            match operation {
                Operation::Start(job, epoch, size) => {
                    let started = contains_start(&fixture.order_start(1, &name(job), epoch, size));
                    prop_assert_eq!(started, reference.start(job, epoch, size));
                }
                Operation::Started(job) => {
                    let epoch = latest_epoch(&reference, job);
                    fixture.handle(LedgerEvent::Started { job: name(job), epoch });
                }
                Operation::Usage(job, used) => {
                    let Some((epoch, size)) = reference.live_tasks.get_mut(&job) else { continue };
                    *size = (*size).max(used);
                    let usage = Resources { milli_cpus: used, ..Resources::default() };
                    let mut listed = vec![WorkerTask { usage, ..running_task(&name(job), *epoch) }];
                    let others = reference.live_tasks.iter().filter(|(other, _)| **other != job);
                    listed.extend(others.map(|(j, (epoch, _))| running_task(&name(*j), *epoch)));
                    fixture.receive_list(&listed);
                }
                Operation::Done(job) => {
                    let Some((epoch, _)) = reference.live_tasks.remove(&job) else { continue };
                    let done =
                        WorkerTask { state: TaskState::Done, ..running_task(&name(job), epoch) };
                    let mut listed = vec![done];
                    listed.extend(
                        reference
                            .live_tasks
                            .iter()
                            .map(|(j, (epoch, _))| running_task(&name(*j), *epoch)),
                    );
                    fixture.receive_list(&listed);
                }
                Operation::Settle(job) => {
                    let run = task_ref(1, &name(job), latest_epoch(&reference, job));
                    fixture.handle(LedgerEvent::Settled(run));
                }
                Operation::Stop(job) => {
                    let epoch = latest_epoch(&reference, job);
                    reference.known_runs.insert((job, epoch));
                    fixture.handle(LedgerEvent::Stop(task_ref(1, &name(job), epoch)));
                    if reference.live_tasks.remove(&job).is_some() {
                        let started = LedgerEvent::Started { job: name(job), epoch };
                        fixture.handle(started);
                        fixture.handle(LedgerEvent::Stopped { job: name(job), epoch });
                    }
                }
                Operation::Stopped(job) => {
                    let epoch = latest_epoch(&reference, job);
                    fixture.handle(LedgerEvent::Stopped { job: name(job), epoch });
                }
            }
            let allocated: u64 = reference.live_tasks.values().map(|(_, size)| size).sum();
            prop_assert_eq!(fixture.ledger.reserved().milli_cpus, allocated);
            prop_assert_eq!(fixture.ledger.live_tasks(), reference.live_tasks.len());
        }
    }
}
