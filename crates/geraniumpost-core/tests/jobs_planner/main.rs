//! When the planner may give a run away, and when it has to step down.

mod bench;

use assert_matches::assert_matches;
use bench::{Bench, HOLD_MS, LEASE_MS, NEED, OUTAGE_MS, assigned, report, spec};
use geraniumpost_core::jobs::{
    BUCKETS, Bucket, JobRecord, JobSpec, JobState, LeaseHolder, PlannerAction, PlannerEvent,
    Transition, bucket_of, codes,
};
use geraniumpost_schema::{Name, Resources, TaskState, ToAgent};

/// Time from the last possible hold to the end of the worker's lease, with what clocks may lose.
const LEASES_MS: u64 = 2 * LEASE_MS + 2 * LEASE_MS / 100 + 500;

// An agent falls silent with a study on its VM. It may only be cut off: until its hold and its
// worker's leases have run out the study may still be running, and a second start would double it.
#[test]
fn a_silent_agents_run_is_given_away_only_when_it_has_surely_ended() {
    let mut bench = Bench::new(&[assigned("study-1")]);
    bench.tell(PlannerEvent::PredecessorStopped(LeaseHolder::new("entry-1".into(), 1)));
    bench.beat("agent-1");
    bench.link("agent-1", vec![report("study-1", 1, TaskState::Running)]);
    bench.now = 50_000;
    bench.beat("agent-1");
    bench.tell(PlannerEvent::LinkDown { agent: "agent-1".into(), incarnation: 5 });
    bench.tick_at(50_000 + HOLD_MS + LEASES_MS - 1);
    assert_eq!(bench.state("study-1"), (JobState::Assigned, 1));
    bench.tick_at(50_000 + HOLD_MS + LEASES_MS);
    assert_eq!(bench.state("study-1"), (JobState::Pending, 2));
}

// A planner takes over and cannot reach an agent. The planner before it may be cut from the store
// and still keep that agent's study going.
#[test]
fn an_unreached_agents_run_waits_for_the_planner_before() {
    let mut bench = Bench::new(&[assigned("study-1")]);
    let held = 1_000 + OUTAGE_MS + OUTAGE_MS / 100 + HOLD_MS;
    bench.tick_at(held + LEASES_MS - 1);
    assert_eq!(bench.state("study-1"), (JobState::Assigned, 1));
    bench.tick_at(held + LEASES_MS);
    assert_eq!(bench.state("study-1"), (JobState::Pending, 2));
}

#[test]
fn proof_that_the_planner_before_stopped_shortens_the_wait() {
    let mut bench = Bench::new(&[assigned("study-1")]);
    bench.now = 2_000;
    bench.tell(PlannerEvent::PredecessorStopped(LeaseHolder::new("entry-1".into(), 1)));
    bench.tick_at(2_000 + HOLD_MS + LEASES_MS - 1);
    assert_eq!(bench.state("study-1"), (JobState::Assigned, 1));
    bench.tick_at(2_000 + HOLD_MS + LEASES_MS);
    assert_eq!(bench.state("study-1"), (JobState::Pending, 2));
}

// An agent lists its runs to a new planner and a study is missing. The earlier planner's start may be
// lost, or may have run and ended; only the agent's word that it will never start settles it.
#[test]
fn a_run_missing_from_an_inventory_is_barred_first() {
    let mut bench = Bench::new(&[assigned("study-1")]);
    bench.beat("agent-1");
    bench.link("agent-1", Vec::new());
    bench.tick_at(1_100);
    let stop = |(_, frame): &(Name, ToAgent)| matches!(frame, ToAgent::Stop(_));
    assert!(bench.sent.iter().any(stop), "{:?}", bench.sent);
    assert!(!bench.sent.iter().any(|(_, frame)| matches!(frame, ToAgent::Start(_))));
    assert_eq!(bench.state("study-1"), (JobState::Assigned, 1));
    bench.report("agent-1", report("study-1", 1, TaskState::Stopped));
    assert_eq!(bench.state("study-1"), (JobState::Pending, 2));
}

// Two runs of one study both say that they completed. The regulator would get two results.
#[test]
fn a_late_second_result_is_refused_and_counted() {
    let mut bench = Bench::new(&[assigned("study-1")]);
    bench.beat("agent-1");
    bench.link("agent-1", vec![report("study-1", 1, TaskState::Running)]);
    bench.report("agent-1", report("study-1", 1, TaskState::Evicted));
    assert_eq!(bench.state("study-1"), (JobState::Pending, 2));
    bench.assign("study-1", "agent-1");
    bench.report("agent-1", report("study-1", 1, TaskState::Done));
    assert_eq!(bench.state("study-1"), (JobState::Assigned, 2));
    bench.report("agent-1", report("study-1", 2, TaskState::Done));
    assert_eq!(bench.state("study-1"), (JobState::Done, 2));
    assert_eq!(bench.planner.counters().late_results, 1);
}

// The planner dies between hearing of a completion and recording it. If the agent had been told to
// forget by then, nobody would know that the study was done, and it would run again.
#[test]
fn an_agent_keeps_its_report_until_the_completion_is_recorded() {
    let mut bench = Bench::new(&[assigned("study-1")]);
    bench.beat("agent-1");
    bench.link("agent-1", vec![report("study-1", 1, TaskState::Running)]);
    bench.now += 1_000;
    let report = report("study-1", 1, TaskState::Done);
    let told = PlannerEvent::Report { agent: "agent-1".into(), report };
    let settles = |actions: &[PlannerAction]| {
        let is = |action: &PlannerAction| {
            matches!(action, PlannerAction::Send { frame: ToAgent::Settled(_), .. })
        };
        actions.iter().any(is)
    };
    let actions = bench.raw(told.clone());
    assert!(actions.iter().any(|action| matches!(action, PlannerAction::Commit { .. })));
    assert!(!settles(&actions) && !settles(&bench.raw(told)));
    let done = PlannerEvent::CommitDone { bucket: bucket_of("study-1"), revision: 90 };
    assert!(settles(&bench.raw(done)));
}

/// Reads a bucket back after a commit of unknown outcome, and finds this in the store.
fn read_back(term: u64, sequence: u64) -> Bench {
    let mut bench = Bench::new(&[]);
    bench.now += 1_000;
    let actions = bench.raw(PlannerEvent::Submit { spec: spec("study-1"), reply: 1 });
    let bucket = assert_matches!(&actions[..], [PlannerAction::Commit { bucket, .. }] => *bucket);
    let read = bench.raw(PlannerEvent::CommitUnknown { bucket });
    assert_eq!(read, [PlannerAction::Read { bucket }]);
    let found = Some((90, Bucket::default().encode(term, sequence)));
    bench.tell(PlannerEvent::ReadDone { bucket, found });
    bench.tick_at(bench.now + 1_000);
    bench
}

macro_rules! read_backs {
    ($($name:ident: ($term:literal, $sequence:literal) => $down:literal, $replies:literal;)*) => {$(
        #[test]
        fn $name() {
            let bench = read_back($term, $sequence);
            assert_eq!((bench.stepped_down, bench.replies.len()), ($down, $replies));
        }
    )*};
}

// The reply to a commit is lost. What the store has tells whether it took effect, is to be repeated,
// or whether another planner wrote; a planner that guessed would lose jobs or answer for nothing.
read_backs! {
    own_commit_took_effect: (2, 2) => false, 1;
    own_commit_is_repeated: (2, 1) => false, 1;
    a_later_planner_wrote: (3, 1) => true, 0;
    another_planner_has_the_same_term: (2, 9) => true, 0;
    an_earlier_planner_wrote: (1, 9) => true, 0;
}

// A planner sees no worker at all, as its network is cut. Every waiting job would be failed as
// impossible, though the customer had been told that it was accepted.
#[test]
fn a_job_is_not_given_up_while_workers_are_out_of_sight() {
    let mut bench = Bench::new(&[]);
    bench.now += 1_000;
    bench.tell(PlannerEvent::Submit { spec: spec("study-1"), reply: 1 });
    for second in 10..400 {
        bench.tick_at(second * 1_000);
        assert!(bench.planner.fleet().awaiting_workers());
    }
    assert_eq!(bench.state("study-1"), (JobState::Pending, 1));
}

#[test]
fn what_no_worker_could_hold_is_refused_at_once() {
    let mut bench = Bench::new(&[]);
    bench.beat("agent-1");
    bench.link("agent-1", Vec::new());
    bench.tick_at(7_000);
    bench.beat("agent-1");
    let need = Resources { memory_mb: 99_000, ..NEED };
    let large = JobSpec { need, ..spec("study-1") };
    bench.tell(PlannerEvent::Submit { spec: large, reply: 1 });
    assert_eq!(bench.replies[0].code, codes::IMPOSSIBLE);
    assert!(bench.replies[0].detail.contains("agent-1"), "{:?}", bench.replies);
}

/// Carries jobs through submission, start and completion at 80 a second, with the tick of the shell.
fn stream(seconds: u64) -> Bench {
    let mut bench = Bench::new(&[]);
    bench.beat("agent-1");
    bench.link("agent-1", Vec::new());
    bench.commits = 0;
    bench.bytes = 0;
    for tick in 0..seconds * 20 {
        bench.tick_at(2_000 + tick * 50);
        bench.beat("agent-1");
        for job in tick * 4..tick * 4 + 4 {
            bench.tell(PlannerEvent::Submit { spec: spec(&format!("job-{job}")), reply: job });
            if let Some(ready) = job.checked_sub(40) {
                bench.assign(&format!("job-{ready}"), "agent-1");
            }
            if let Some(done) = job.checked_sub(80) {
                bench.report("agent-1", report(&format!("job-{done}"), 1, TaskState::Done));
            }
        }
    }
    bench
}

#[test]
fn store_calls_stay_few_at_80_starts_a_second() {
    let bench = stream(20);
    let jobs = bench.planner.counters().completed;
    let per_second = bench.commits as f64 / 20.0;
    let per_job = bench.commits as f64 / jobs as f64;
    let kb = bench.bytes as f64 / 20.0 / 1_000.0;
    println!("{jobs} jobs: {per_second:.1} writes/s, {per_job:.2} a job, {kb:.0} KB/s");
    assert!(per_second <= 80.5, "{per_second}");
    assert!(per_job <= 1.5, "{per_job}");
}

#[test]
fn an_idle_planner_writes_no_records() {
    let mut bench = Bench::new(&[assigned("study-1")]);
    bench.beat("agent-1");
    bench.link("agent-1", vec![report("study-1", 1, TaskState::Running)]);
    (bench.commits, bench.reads) = (0, 0);
    for tick in 0..1_200 {
        bench.tick_at(2_000 + tick * 50);
        bench.beat("agent-1");
        bench.report("agent-1", report("study-1", 1, TaskState::Running));
    }
    assert_eq!((bench.commits, bench.reads), (0, 0));
}

// An auction is called off and its studies are cancelled all at once. If each took a write of its
// own, the store would be busy for half a minute and nothing else would start.
#[test]
fn a_wave_of_cancellations_takes_few_writes() {
    let mut bench = Bench::new(&[]);
    for job in 0..4_000 {
        bench.tell(PlannerEvent::Submit { spec: spec(&format!("job-{job}")), reply: job });
    }
    bench.tick_at(10_000);
    bench.commits = 0;
    bench.replies.clear();
    let began = std::time::Instant::now();
    for job in 0..4_000 {
        let cancel = PlannerEvent::Cancel {
            job: format!("job-{job}").into(),
            customer: "entel".into(),
            reply: job,
        };
        bench.tell(cancel);
    }
    bench.tick_at(11_000);
    println!("4000 cancellations: {} writes, {:?}", bench.commits, began.elapsed());
    assert_eq!(bench.replies.len(), 4_000);
    assert!(bench.replies.iter().all(|answer| answer.code == codes::CANCELLED));
    assert!(bench.commits <= 2 * BUCKETS as u64, "{}", bench.commits);
}

#[test]
fn a_tick_is_cheap_with_570_workers_and_5200_tasks() {
    let name = |number: u64| format!("agent-{}", number % 570);
    let record = |number: u64| {
        let mut record = JobRecord::new(spec(&format!("job-{number}")), 1);
        let worker = name(number).into();
        record.apply(Transition::Assign { worker }, 2).expect("pending");
        record
    };
    let records: Vec<JobRecord> = (0..5_200).map(record).collect();
    let mut bench = Bench::new(&records);
    for agent in 0..570 {
        bench.beat(&name(agent));
        let jobs = (0..5_200).filter(|job| job % 570 == agent);
        let running = |job| report(&format!("job-{job}"), 1, TaskState::Running);
        bench.link(&name(agent), jobs.map(running).collect());
    }
    bench.tick_at(1_500);
    let began = std::time::Instant::now();
    for tick in 0..100 {
        bench.tick_at(2_000 + tick * 50);
    }
    let took = began.elapsed() / 100;
    println!("a tick takes {took:?}");
    assert_eq!(bench.planner.queue_lengths(), (0, 5_200));
    assert!(took.as_millis() < 20, "{took:?}");
}
