//! The agent's account of its VM: named failures, and a comparison with a naive one.

use std::collections::{BTreeMap, BTreeSet};

use assert_matches::assert_matches;
use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{LedgerAction, LedgerConfig, LedgerEvent, VmLedger, WorkerTask};
use geraniumpost_schema::{HeartbeatAck, Name, Resources, StartTask, TaskRef, TaskState};
use proptest::prelude::*;

const CAPACITY: Resources = Resources { milli_cpus: 4_000, memory_mb: 4_000, accelerators: 1 };
const HOLD_MS: u64 = 10_000;

struct Bench {
    ledger: VmLedger,
    now: u64,
    beats: u64,
}

impl Bench {
    /// A ledger that has listed an idle worker and has a hold under term 1.
    fn ready() -> Self {
        let mut bench = Self::cold();
        bench.list(&[]);
        bench.now += 2_000;
        bench.list(&[]);
        bench.hold(1);
        bench
    }

    fn cold() -> Self {
        let ledger = VmLedger::new(7, CAPACITY, LedgerConfig::default());
        Self { ledger, now: 1_000, beats: 0 }
    }

    fn tell(&mut self, event: LedgerEvent) -> Vec<LedgerAction> {
        self.ledger.handle(event, Millis(self.now))
    }

    fn list(&mut self, tasks: &[WorkerTask]) -> Vec<LedgerAction> {
        self.tell(LedgerEvent::Listed { asked: Millis(self.now), tasks: tasks.to_vec() })
    }

    fn beat(&mut self) -> u64 {
        self.beats += 1;
        self.tell(LedgerEvent::HeartbeatSent(self.beats));
        self.beats
    }

    fn ack(&mut self, sequence: u64, term: u64) {
        self.tell(LedgerEvent::Ack(HeartbeatAck {
            entry: Name::default(),
            sequence,
            incarnation: 7,
            config_revision: 0,
            term,
            hold_ms: HOLD_MS,
            entries_digest: 0,
            entries: Vec::new(),
        }));
    }

    fn hold(&mut self, term: u64) {
        let sequence = self.beat();
        self.ack(sequence, term);
    }

    fn start(&mut self, term: u64, job: &str, epoch: u64, milli_cpus: u64) -> Vec<LedgerAction> {
        let need = Resources { milli_cpus, memory_mb: 100, accelerators: 0 };
        self.tell(LedgerEvent::Start(StartTask {
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

    fn run(&mut self, job: &str, epoch: u64) {
        assert!(starts(&self.start(1, job, epoch, 1_000)), "{job} should start");
        self.tell(LedgerEvent::Started { job: job.into(), epoch });
    }
}

fn order(term: u64, job: &str, epoch: u64) -> TaskRef {
    TaskRef { term, job: job.into(), epoch }
}

fn running(job: &str, epoch: u64) -> WorkerTask {
    WorkerTask {
        job: job.into(),
        epoch,
        state: TaskState::Running,
        checkpoint: Name::default(),
        result: String::new(),
        usage: Resources::default(),
    }
}

fn starts(actions: &[LedgerAction]) -> bool {
    actions.iter().any(|action| matches!(action, LedgerAction::Start(_)))
}

fn reported(actions: &[LedgerAction]) -> Vec<TaskState> {
    let state = |action: &LedgerAction| match action {
        LedgerAction::Report(report) => Some(report.state),
        _ => None,
    };
    actions.iter().filter_map(state).collect()
}

// An answer to a heartbeat is held up in the network for nine seconds. If the hold counted from its
// arrival, the agent would go on with a study that the planner had given to another VM.
#[test]
fn a_hold_counts_from_the_sending_of_the_heartbeat() {
    let mut bench = Bench::ready();
    bench.run("study-1", 1);
    let sequence = bench.beat();
    bench.now += HOLD_MS - 1;
    bench.beat();
    bench.ack(sequence, 1);
    assert!(bench.ledger.may_run(Millis(bench.now)));
    bench.now += 1;
    assert!(!bench.ledger.may_run(Millis(bench.now)));
    let actions = bench.tell(LedgerEvent::Tick);
    assert!(actions.iter().any(|action| matches!(action, LedgerAction::Stop { .. })));
    assert!(!actions.iter().any(|action| matches!(action, LedgerAction::Renew { .. })));
}

// A start is delayed on a connection that was given up, and arrives when its run has ended and was
// settled. The study would run a second time.
#[test]
fn a_start_that_comes_after_its_run_ended_is_refused() {
    let mut bench = Bench::ready();
    bench.run("study-1", 1);
    let done = WorkerTask { state: TaskState::Done, ..running("study-1", 1) };
    bench.now += 10;
    bench.list(&[done]);
    let settled = bench.tell(LedgerEvent::Settled(order(1, "study-1", 1)));
    assert_matches!(&settled[..], [LedgerAction::Forget { .. }]);
    assert!(!starts(&bench.start(1, "study-1", 1, 1_000)));
    assert_eq!(bench.ledger.counters().stale_epochs, 1);
}

// The planner asks for the end of a run whose start is still under way, and is told that the run is
// not there. If the start were obeyed when it comes, the study would run here and elsewhere.
#[test]
fn a_run_stopped_before_its_start_arrives_never_starts() {
    let mut bench = Bench::ready();
    let actions = bench.tell(LedgerEvent::Stop(order(1, "study-1", 3)));
    assert_eq!(reported(&actions), [TaskState::Stopped]);
    for epoch in 1..=3 {
        assert!(!starts(&bench.start(1, "study-1", epoch, 1_000)), "epoch {epoch}");
    }
    assert!(starts(&bench.start(1, "study-1", 4, 1_000)));
}

// The agent's process dies just after it asked the worker for a start. The next one lists the tasks
// before the start arrives; if it called that list complete, the planner would start the study
// elsewhere while it begins here.
#[test]
fn a_restarted_agent_waits_for_starts_under_way() {
    let mut bench = Bench::cold();
    assert_eq!(bench.tell(LedgerEvent::Supersede(1)), [], "nothing is known yet");
    bench.list(&[]);
    bench.hold(1);
    assert_eq!(bench.tell(LedgerEvent::Supersede(1)), []);
    assert!(!starts(&bench.start(1, "study-2", 1, 1_000)));
    bench.now += 1_000;
    let actions = bench.list(&[running("study-1", 1)]);
    let inventory = actions.iter().find_map(|action| match action {
        LedgerAction::Inventory(inventory) => Some(inventory),
        _ => None,
    });
    assert_eq!(inventory.expect("owed").tasks[0].job.as_str(), "study-1");
}

// An agent adopts a study whose declared size the worker doesn't tell, and whose measured usage is
// still low. A second study that fits beside the usage would overfill the VM.
#[test]
fn nothing_starts_beside_a_task_of_unknown_size() {
    let mut bench = Bench::cold();
    bench.list(&[running("study-1", 1)]);
    bench.now += 1_000;
    bench.list(&[running("study-1", 1)]);
    bench.hold(1);
    assert!(!starts(&bench.start(1, "study-2", 1, 2_000)));
    bench.start(1, "study-1", 1, 3_000);
    assert_eq!(bench.ledger.reserved().milli_cpus, 3_000);
    let refused = bench.start(1, "study-2", 1, 2_000);
    assert_eq!(reported(&refused), [TaskState::Refused]);
}

// A planner that was paused wakes up after another has taken over, and still orders. Two planners
// would both move the same studies.
#[test]
fn a_superseded_planner_is_not_obeyed() {
    let mut bench = Bench::ready();
    bench.run("study-1", 1);
    bench.tell(LedgerEvent::Supersede(2));
    assert!(!starts(&bench.start(1, "study-2", 1, 100)));
    assert_eq!(bench.tell(LedgerEvent::Stop(order(1, "study-1", 1))), []);
    assert_eq!(bench.tell(LedgerEvent::Evict(order(1, "study-1", 1))), []);
    bench.hold(1);
    bench.now += HOLD_MS;
    assert!(!bench.ledger.may_run(Millis(bench.now)), "its holds don't count either");
    assert!(bench.ledger.counters().stale_terms >= 4);
}

// A new agent process knows no term. An order that a planner superseded long ago still had under way
// would start a study that runs elsewhere.
#[test]
fn a_start_needs_a_hold_of_its_own_term() {
    let mut bench = Bench::ready();
    bench.tell(LedgerEvent::Supersede(2));
    assert!(!starts(&bench.start(2, "study-1", 1, 100)), "the hold is of term 1");
    bench.hold(2);
    assert!(starts(&bench.start(2, "study-1", 1, 100)));
}

// The worker's answer to a start is lost, and the planner cancels. "No such task" is no word yet: the
// start may still be on its way, and the study would run after its end had been recorded.
#[test]
fn a_stop_waits_for_a_start_that_may_still_arrive() {
    let mut bench = Bench::ready();
    let stops = |actions: &[LedgerAction]| {
        actions.iter().any(|action| matches!(action, LedgerAction::Stop { .. }))
    };
    assert!(starts(&bench.start(1, "study-1", 1, 100)));
    assert_eq!(bench.tell(LedgerEvent::Stop(order(1, "study-1", 1))), []);
    bench.now += 2_000;
    assert!(!stops(&bench.tell(LedgerEvent::Tick)), "the call is still open");
    bench.tell(LedgerEvent::StartUncertain { job: "study-1".into(), epoch: 1 });
    let stopped = || LedgerEvent::Stopped { job: "study-1".into(), epoch: 1 };
    assert_eq!(bench.tell(stopped()), []);
    bench.now += 999;
    assert!(!stops(&bench.tell(LedgerEvent::Tick)), "it may still be on its way");
    bench.now += 1;
    assert!(stops(&bench.tell(LedgerEvent::Tick)));
    assert_eq!(reported(&bench.tell(stopped())), [TaskState::Stopped]);
}

// The worker's answer to a start is lost, and the start is repeated. The worker refuses the repeat, but may
// still take the first call: were the job taken for refused at once, it would begin on another VM and
// then run on both.
#[test]
fn a_refused_repeat_waits_for_the_start_that_may_still_arrive() {
    let mut bench = Bench::ready();
    let stops = |actions: &[LedgerAction]| {
        actions.iter().any(|action| matches!(action, LedgerAction::Stop { .. }))
    };
    assert!(starts(&bench.start(1, "study-1", 1, 100)));
    bench.now += 700;
    bench.tell(LedgerEvent::StartUncertain { job: "study-1".into(), epoch: 1 });
    bench.now += 300;
    assert!(starts(&bench.tell(LedgerEvent::Tick)), "it is repeated");
    let refused = || LedgerEvent::StartRefused {
        job: "study-1".into(),
        epoch: 1,
        reason: "nothing listens".into(),
    };
    assert_eq!(reported(&bench.tell(refused())), []);
    bench.now += 699;
    assert!(!stops(&bench.tell(LedgerEvent::Tick)), "the first call may still be on its way");
    bench.now += 1;
    assert!(stops(&bench.tell(LedgerEvent::Tick)));
    let stopped = LedgerEvent::Stopped { job: "study-1".into(), epoch: 1 };
    assert_eq!(reported(&bench.tell(stopped)), [TaskState::Refused]);
}

// The same while the planner cancels: the refusal of the repeat is no word on the first call.
#[test]
fn a_stop_waits_for_the_first_call_when_the_repeat_is_refused() {
    let mut bench = Bench::ready();
    bench.start(1, "study-1", 1, 100);
    bench.now += 700;
    bench.tell(LedgerEvent::StartUncertain { job: "study-1".into(), epoch: 1 });
    bench.now += 300;
    assert!(starts(&bench.tell(LedgerEvent::Tick)), "it is repeated");
    bench.tell(LedgerEvent::Stop(order(1, "study-1", 1)));
    let reason = "nothing listens".into();
    let refused = LedgerEvent::StartRefused { job: "study-1".into(), epoch: 1, reason };
    assert_eq!(reported(&bench.tell(refused)), []);
    bench.now += 700;
    bench.tell(LedgerEvent::Tick);
    let stopped = LedgerEvent::Stopped { job: "study-1".into(), epoch: 1 };
    assert_eq!(reported(&bench.tell(stopped)), [TaskState::Stopped]);
}

// Without a lost answer a refusal is final, and the job goes elsewhere at once.
#[test]
fn a_refused_start_is_told_at_once() {
    let mut bench = Bench::ready();
    bench.start(1, "study-1", 1, 100);
    let reason = "nothing listens".into();
    let refused = LedgerEvent::StartRefused { job: "study-1".into(), epoch: 1, reason };
    assert_eq!(reported(&bench.tell(refused)), [TaskState::Refused]);
}

// The planner cancels while the worker is being asked for the start. The list that was asked for
// before the start took effect doesn't have the task, which is no word of its end.
#[test]
fn a_list_older_than_the_start_does_not_end_it() {
    let mut bench = Bench::ready();
    assert!(starts(&bench.start(1, "study-1", 1, 100)));
    bench.tell(LedgerEvent::Stop(order(1, "study-1", 1)));
    bench.now += 10;
    let asked = Millis(bench.now);
    bench.now += 10;
    let started = LedgerEvent::Started { job: "study-1".into(), epoch: 1 };
    assert_matches!(&bench.tell(started)[..], [LedgerAction::Stop { .. }]);
    assert_eq!(bench.tell(LedgerEvent::Listed { asked, tasks: Vec::new() }), []);
    bench.now += 10;
    assert_eq!(reported(&bench.list(&[])), [TaskState::Stopped]);
}

// A start that was thought lost takes effect after the ledger had ended the run. Nobody would know of
// the task, and it would hold the VM for as long as it likes.
#[test]
fn a_task_that_the_ledger_had_ended_is_stopped() {
    let mut bench = Bench::ready();
    bench.tell(LedgerEvent::Stop(order(1, "study-1", 1)));
    let actions = bench.list(&[running("study-1", 1)]);
    assert_matches!(&actions[..], [LedgerAction::Stop { epoch: 1, .. }]);
}

// The worker takes its time over a checkpoint, fails, and fails again. The study must still leave the
// VM for urgent work, with the last checkpoint that was written.
#[test]
fn an_eviction_falls_back_on_the_last_checkpoint() {
    let mut bench = Bench::ready();
    bench.run("study-1", 1);
    bench.now += 10;
    let older = WorkerTask { checkpoint: "cp-1".into(), ..running("study-1", 1) };
    bench.list(&[older]);
    bench.tell(LedgerEvent::Evict(order(1, "study-1", 1)));
    let failed = || LedgerEvent::CheckpointFailed { job: "study-1".into(), epoch: 1 };
    assert_matches!(&bench.tell(failed())[..], [LedgerAction::Checkpoint { .. }]);
    assert_matches!(&bench.tell(failed())[..], [LedgerAction::Checkpoint { .. }]);
    assert_matches!(&bench.tell(failed())[..], [LedgerAction::Stop { .. }]);
    let end = bench.tell(LedgerEvent::Stopped { job: "study-1".into(), epoch: 1 });
    assert_matches!(&end[..], [LedgerAction::Report(report)]
        if report.state == TaskState::Evicted && report.checkpoint.as_str() == "cp-1");
}

fn checkpoints(actions: &[LedgerAction]) -> usize {
    actions.iter().filter(|action| matches!(action, LedgerAction::Checkpoint { .. })).count()
}

// Both entries are replaced at once and nobody extends the hold. The study is stopped, and without a
// checkpoint it would begin anew and miss its deadline.
#[test]
fn a_study_is_checkpointed_before_its_hold_ends() {
    let mut bench = Bench::ready();
    bench.run("study-1", 1);
    bench.now += 5_000;
    bench.hold(1);
    assert_eq!(checkpoints(&bench.tell(LedgerEvent::Tick)), 0);
    bench.now += HOLD_MS - 1_000;
    assert_eq!(checkpoints(&bench.tell(LedgerEvent::Tick)), 1);
    bench.now += 100;
    assert_eq!(checkpoints(&bench.tell(LedgerEvent::Tick)), 0, "once is enough");
    let written =
        LedgerEvent::Checkpointed { job: "study-1".into(), epoch: 1, checkpoint: "cp-1".into() };
    bench.tell(written);
    bench.now += 2_000;
    let mut actions = bench.tell(LedgerEvent::Tick);
    assert!(actions.iter().any(|action| matches!(action, LedgerAction::Stop { .. })));
    actions.extend(bench.tell(LedgerEvent::Stopped { job: "study-1".into(), epoch: 1 }));
    let lapsed = actions.iter().find_map(|action| match action {
        LedgerAction::Report(report) if report.state == TaskState::Lapsed => Some(report),
        _ => None,
    });
    assert_eq!(lapsed.expect("the lapse is reported").checkpoint.as_str(), "cp-1");
}

// A VM is lost without a word. What its study did since the last checkpoint is lost with it, so there
// must be one every few minutes.
#[test]
fn a_long_study_is_checkpointed_now_and_then() {
    let mut bench = Bench::ready();
    bench.run("study-1", 1);
    let mut written = 0;
    for _ in 0..600 {
        bench.now += 1_000;
        bench.hold(1);
        written += checkpoints(&bench.tell(LedgerEvent::Tick));
    }
    assert_eq!(written, 5, "one every two minutes");
}

#[derive(Debug, Clone)]
enum Step {
    Start(u8, u64, u64),
    Started(u8),
    Done(u8),
    Settle(u8),
    Stop(u8),
    Stopped(u8),
    Usage(u8, u64),
}

fn step() -> impl Strategy<Value = Step> {
    let job = 0..5_u8;
    prop_oneof![
        4 => (job.clone(), 1..4_u64, 1..3_000_u64).prop_map(|(j, e, c)| Step::Start(j, e, c)),
        2 => job.clone().prop_map(Step::Started),
        2 => job.clone().prop_map(Step::Done),
        2 => job.clone().prop_map(Step::Settle),
        1 => job.clone().prop_map(Step::Stop),
        1 => job.clone().prop_map(Step::Stopped),
        2 => (job, 1..3_500_u64).prop_map(|(j, c)| Step::Usage(j, c)),
    ]
}

/// Live runs as job, epoch and size, and every run ever heard of.
#[derive(Default)]
struct Naive {
    live: BTreeMap<u8, (u64, u64)>,
    known: BTreeSet<(u8, u64)>,
}

impl Naive {
    fn start(&mut self, job: u8, epoch: u64, size: u64) -> bool {
        if self.known.iter().any(|&(other, at)| other == job && at >= epoch) {
            return false;
        }
        if self.live.contains_key(&job) {
            return false;
        }
        self.known.insert((job, epoch));
        let held: u64 = self.live.values().map(|(_, size)| size).sum();
        let fits = held + size <= CAPACITY.milli_cpus;
        if fits {
            self.live.insert(job, (epoch, size));
        }
        fits
    }
}

proptest! {
    #[test]
    fn the_ledger_agrees_with_the_naive_account(steps in prop::collection::vec(step(), 0..80)) {
        let mut bench = Bench::ready();
        let mut naive = Naive::default();
        for step in steps {
            bench.now += 1_100;
            bench.hold(1);
            let name = |job: u8| Name::from(format!("job-{job}"));
            let epoch = |naive: &Naive, job: u8| {
                let known = naive.known.iter().filter(|(other, _)| *other == job);
                known.map(|(_, epoch)| *epoch).max().unwrap_or(1)
            };
            match step {
                Step::Start(job, epoch, size) => {
                    let started = starts(&bench.start(1, &name(job), epoch, size));
                    prop_assert_eq!(started, naive.start(job, epoch, size));
                }
                Step::Started(job) => {
                    let epoch = epoch(&naive, job);
                    bench.tell(LedgerEvent::Started { job: name(job), epoch });
                }
                Step::Usage(job, used) => {
                    let Some((epoch, size)) = naive.live.get_mut(&job) else { continue };
                    *size = (*size).max(used);
                    let usage = Resources { milli_cpus: used, ..Resources::default() };
                    let mut listed = vec![WorkerTask { usage, ..running(&name(job), *epoch) }];
                    let others = naive.live.iter().filter(|(other, _)| **other != job);
                    listed.extend(others.map(|(other, (at, _))| running(&name(*other), *at)));
                    bench.list(&listed);
                }
                Step::Done(job) => {
                    let Some((epoch, _)) = naive.live.remove(&job) else { continue };
                    let done = WorkerTask { state: TaskState::Done, ..running(&name(job), epoch) };
                    let mut listed = vec![done];
                    listed.extend(naive.live.iter().map(|(j, (at, _))| running(&name(*j), *at)));
                    bench.list(&listed);
                }
                Step::Settle(job) => {
                    let order = order(1, &name(job), epoch(&naive, job));
                    bench.tell(LedgerEvent::Settled(order));
                }
                Step::Stop(job) => {
                    let at = epoch(&naive, job);
                    naive.known.insert((job, at));
                    bench.tell(LedgerEvent::Stop(order(1, &name(job), at)));
                    if naive.live.remove(&job).is_some() {
                        let started = LedgerEvent::Started { job: name(job), epoch: at };
                        bench.tell(started);
                        bench.tell(LedgerEvent::Stopped { job: name(job), epoch: at });
                    }
                }
                Step::Stopped(job) => {
                    let epoch = epoch(&naive, job);
                    bench.tell(LedgerEvent::Stopped { job: name(job), epoch });
                }
            }
            let held: u64 = naive.live.values().map(|(_, size)| size).sum();
            prop_assert_eq!(bench.ledger.reserved().milli_cpus, held);
            prop_assert_eq!(bench.ledger.live_tasks(), naive.live.len());
        }
    }
}
