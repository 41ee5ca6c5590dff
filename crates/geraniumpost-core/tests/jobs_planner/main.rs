//! The planner: when it may requeue a run, when it steps down, and its load on the store.

mod fixture;

use assert_matches::assert_matches;
use fixture::{
    AGENT_LEASE_MS, Fixture, NEED, STORE_OUTAGE_TOLERANCE_MS, WORKER_LEASE_MS, assigned_record,
    job_spec, report,
};
use geraniumpost_core::jobs::{
    BUCKETS, Bucket, JobRecord, JobSpec, JobState, LeaseHolder, PlannerAction, PlannerEvent,
    Transition, bucket_of, codes,
};
use geraniumpost_schema::{Name, Resources, TaskState, ToAgent};

/// Longest time from the end of the agent lease to the end of the worker's lease, including clock
/// drift of 1 % and a margin of 500 ms.
const WORKER_LEASE_BOUND_MS: u64 = 2 * WORKER_LEASE_MS + 2 * WORKER_LEASE_MS / 100 + 500;

// An agent with a running task becomes unreachable. The agent may be merely disconnected: until its
// lease and the worker's lease have expired the task may still run, and a second start would run
// the job twice.
#[test]
fn a_run_on_an_unreachable_agent_is_requeued_only_after_its_leases_expire() {
    let mut fixture = Fixture::new(&[assigned_record("study-1")]);
    fixture.handle(PlannerEvent::PredecessorStopped(LeaseHolder::new("entry-1".into(), 1)));
    fixture.send_heartbeat("agent-1");
    fixture.connect_agent("agent-1", vec![report("study-1", 1, TaskState::Running)]);
    fixture.now = 50_000;
    fixture.send_heartbeat("agent-1");
    fixture.handle(PlannerEvent::LinkDown { agent: "agent-1".into(), incarnation: 5 });
    fixture.tick_at(50_000 + AGENT_LEASE_MS + WORKER_LEASE_BOUND_MS - 1);
    assert_eq!(fixture.job_state("study-1"), (JobState::Assigned, 1));
    fixture.tick_at(50_000 + AGENT_LEASE_MS + WORKER_LEASE_BOUND_MS);
    assert_eq!(fixture.job_state("study-1"), (JobState::Pending, 2));
}

// A planner takes over and cannot reach an agent. Its predecessor may be disconnected from the
// store and still extend the agent's lease.
#[test]
fn a_run_on_an_unreachable_agent_waits_for_the_predecessors_leases() {
    let mut fixture = Fixture::new(&[assigned_record("study-1")]);
    let leases_until =
        1_000 + STORE_OUTAGE_TOLERANCE_MS + STORE_OUTAGE_TOLERANCE_MS / 100 + AGENT_LEASE_MS;
    fixture.tick_at(leases_until + WORKER_LEASE_BOUND_MS - 1);
    assert_eq!(fixture.job_state("study-1"), (JobState::Assigned, 1));
    fixture.tick_at(leases_until + WORKER_LEASE_BOUND_MS);
    assert_eq!(fixture.job_state("study-1"), (JobState::Pending, 2));
}

#[test]
fn proof_that_the_predecessor_stopped_shortens_the_wait() {
    let mut fixture = Fixture::new(&[assigned_record("study-1")]);
    fixture.now = 2_000;
    fixture.handle(PlannerEvent::PredecessorStopped(LeaseHolder::new("entry-1".into(), 1)));
    fixture.tick_at(2_000 + AGENT_LEASE_MS + WORKER_LEASE_BOUND_MS - 1);
    assert_eq!(fixture.job_state("study-1"), (JobState::Assigned, 1));
    fixture.tick_at(2_000 + AGENT_LEASE_MS + WORKER_LEASE_BOUND_MS);
    assert_eq!(fixture.job_state("study-1"), (JobState::Pending, 2));
}

// The inventory that an agent sends to a new planner lacks a run. The predecessor's start order may
// be lost or delayed, or the run may have ended: only the agent's report that the run will never
// start makes it safe to requeue the job.
#[test]
fn a_run_missing_from_an_inventory_is_stopped_before_it_is_requeued() {
    let mut fixture = Fixture::new(&[assigned_record("study-1")]);
    fixture.send_heartbeat("agent-1");
    fixture.connect_agent("agent-1", Vec::new());
    fixture.tick_at(1_100);
    let stop = |(_, frame): &(Name, ToAgent)| matches!(frame, ToAgent::Stop(_));
    assert!(fixture.sent.iter().any(stop), "{:?}", fixture.sent);
    assert!(!fixture.sent.iter().any(|(_, frame)| matches!(frame, ToAgent::Start(_))));
    assert_eq!(fixture.job_state("study-1"), (JobState::Assigned, 1));
    fixture.report("agent-1", report("study-1", 1, TaskState::Stopped));
    assert_eq!(fixture.job_state("study-1"), (JobState::Pending, 2));
}

// Two runs of one job both report completion. Without the check of the epoch the customer would get
// two results.
#[test]
fn a_late_result_of_an_earlier_run_is_rejected_and_counted() {
    let mut fixture = Fixture::new(&[assigned_record("study-1")]);
    fixture.send_heartbeat("agent-1");
    fixture.connect_agent("agent-1", vec![report("study-1", 1, TaskState::Running)]);
    fixture.report("agent-1", report("study-1", 1, TaskState::Evicted));
    assert_eq!(fixture.job_state("study-1"), (JobState::Pending, 2));
    fixture.assign("study-1", "agent-1");
    fixture.report("agent-1", report("study-1", 1, TaskState::Done));
    assert_eq!(fixture.job_state("study-1"), (JobState::Assigned, 2));
    fixture.report("agent-1", report("study-1", 2, TaskState::Done));
    assert_eq!(fixture.job_state("study-1"), (JobState::Done, 2));
    assert_eq!(fixture.planner.counters().late_results, 1);
}

// The planner crashes after it received a completion report and before it recorded the completion.
// If the agent had been ordered to delete the run by then, the completion would be lost and the job
// would run again.
#[test]
fn a_completion_is_settled_only_after_it_is_recorded() {
    let mut fixture = Fixture::new(&[assigned_record("study-1")]);
    fixture.send_heartbeat("agent-1");
    fixture.connect_agent("agent-1", vec![report("study-1", 1, TaskState::Running)]);
    fixture.now += 1_000;
    let report = report("study-1", 1, TaskState::Done);
    let event = PlannerEvent::Report { agent: "agent-1".into(), report };
    let contains_settled = |actions: &[PlannerAction]| {
        let is_settled = |action: &PlannerAction| {
            matches!(action, PlannerAction::Send { frame: ToAgent::Settled(_), .. })
        };
        actions.iter().any(is_settled)
    };
    let actions = fixture.actions_for(event.clone());
    assert!(actions.iter().any(|action| matches!(action, PlannerAction::Commit { .. })));
    assert!(!contains_settled(&actions) && !contains_settled(&fixture.actions_for(event)));
    let done = PlannerEvent::CommitDone { bucket: bucket_of("study-1"), revision: 90 };
    assert!(contains_settled(&fixture.actions_for(done)));
}

/// Reports the outcome of a commit as unknown, and lets the read of the bucket return `term` and
/// `sequence`.
fn read_back_unknown_commit(term: u64, sequence: u64) -> Fixture {
    let mut fixture = Fixture::new(&[]);
    fixture.now += 1_000;
    let actions =
        fixture.actions_for(PlannerEvent::Submit { spec: job_spec("study-1"), request_id: 1 });
    let bucket = assert_matches!(&actions[..], [PlannerAction::Commit { bucket, .. }] => *bucket);
    let read = fixture.actions_for(PlannerEvent::CommitUnknown { bucket });
    assert_eq!(read, [PlannerAction::Read { bucket }]);
    let found = Some((90, Bucket::default().encode(term, sequence)));
    fixture.handle(PlannerEvent::ReadDone { bucket, found });
    fixture.tick_at(fixture.now + 1_000);
    fixture
}

macro_rules! read_back_cases {
    ($($name:ident: ($term:literal, $sequence:literal) => $down:literal, $replies:literal;)*) => {$(
        #[test]
        fn $name() {
            let fixture = read_back_unknown_commit($term, $sequence);
            assert_eq!((fixture.stepped_down, fixture.replies.len()), ($down, $replies));
        }
    )*};
}

// The response to a commit is lost. The stored bucket shows whether the commit took effect, must be
// repeated, or was superseded by another planner's write. Without reading it back, a planner would
// lose jobs or confirm submissions that were not recorded.
read_back_cases! {
    a_commit_that_took_effect_is_confirmed: (2, 2) => false, 1;
    a_commit_without_effect_is_repeated: (2, 1) => false, 1;
    a_write_of_a_later_term_makes_the_planner_step_down: (3, 1) => true, 0;
    a_foreign_write_of_the_same_term_makes_the_planner_step_down: (2, 9) => true, 0;
    a_foreign_write_of_an_earlier_term_makes_the_planner_step_down: (1, 9) => true, 0;
}

// A planner is disconnected from all agents and knows no worker. If it considered only the workers
// that it knows, every pending job would fail as impossible after its submission was accepted.
#[test]
fn a_job_stays_pending_while_no_worker_is_reachable() {
    let mut fixture = Fixture::new(&[]);
    fixture.now += 1_000;
    fixture.handle(PlannerEvent::Submit { spec: job_spec("study-1"), request_id: 1 });
    for second in 10..400 {
        fixture.tick_at(second * 1_000);
        assert!(fixture.planner.fleet().awaiting_workers());
    }
    assert_eq!(fixture.job_state("study-1"), (JobState::Pending, 1));
}

#[test]
fn a_job_too_large_for_every_worker_is_refused_at_once() {
    let mut fixture = Fixture::new(&[]);
    fixture.send_heartbeat("agent-1");
    fixture.connect_agent("agent-1", Vec::new());
    fixture.tick_at(7_000);
    fixture.send_heartbeat("agent-1");
    let need = Resources { memory_mb: 99_000, ..NEED };
    let large = JobSpec { need, ..job_spec("study-1") };
    fixture.handle(PlannerEvent::Submit { spec: large, request_id: 1 });
    assert_eq!(fixture.replies[0].code, codes::IMPOSSIBLE);
    assert!(fixture.replies[0].detail.contains("agent-1"), "{:?}", fixture.replies);
}

/// Takes 80 jobs per second through submission, start and completion, with a tick every 50 ms.
fn run_jobs_to_completion(seconds: u64) -> Fixture {
    let mut fixture = Fixture::new(&[]);
    fixture.send_heartbeat("agent-1");
    fixture.connect_agent("agent-1", Vec::new());
    fixture.commits = 0;
    fixture.bytes_written = 0;
    for tick in 0..seconds * 20 {
        fixture.tick_at(2_000 + tick * 50);
        fixture.send_heartbeat("agent-1");
        for job in tick * 4..tick * 4 + 4 {
            fixture.handle(PlannerEvent::Submit {
                spec: job_spec(&format!("job-{job}")),
                request_id: job,
            });
            if let Some(placed) = job.checked_sub(40) {
                fixture.assign(&format!("job-{placed}"), "agent-1");
            }
            if let Some(done) = job.checked_sub(80) {
                fixture.report("agent-1", report(&format!("job-{done}"), 1, TaskState::Done));
            }
        }
    }
    fixture
}

#[test]
fn store_writes_stay_bounded_at_80_starts_per_second() {
    let fixture = run_jobs_to_completion(20);
    let jobs = fixture.planner.counters().completed;
    let per_second = fixture.commits as f64 / 20.0;
    let per_job = fixture.commits as f64 / jobs as f64;
    let kb = fixture.bytes_written as f64 / 20.0 / 1_000.0;
    println!("{jobs} jobs: {per_second:.1} writes/s, {per_job:.2} per job, {kb:.0} KB/s");
    assert!(per_second <= 80.5, "{per_second}");
    assert!(per_job <= 1.5, "{per_job}");
}

#[test]
fn an_idle_planner_neither_reads_nor_writes_records() {
    let mut fixture = Fixture::new(&[assigned_record("study-1")]);
    fixture.send_heartbeat("agent-1");
    fixture.connect_agent("agent-1", vec![report("study-1", 1, TaskState::Running)]);
    (fixture.commits, fixture.reads) = (0, 0);
    for tick in 0..1_200 {
        fixture.tick_at(2_000 + tick * 50);
        fixture.send_heartbeat("agent-1");
        fixture.report("agent-1", report("study-1", 1, TaskState::Running));
    }
    assert_eq!((fixture.commits, fixture.reads), (0, 0));
}

// A customer cancels thousands of jobs at once. If each cancellation took a write of its own, the
// store would be busy for half a minute and no other job would start.
#[test]
fn simultaneous_cancellations_share_store_writes() {
    let mut fixture = Fixture::new(&[]);
    for job in 0..4_000 {
        fixture.handle(PlannerEvent::Submit {
            spec: job_spec(&format!("job-{job}")),
            request_id: job,
        });
    }
    fixture.tick_at(10_000);
    fixture.commits = 0;
    fixture.replies.clear();
    let started_at = std::time::Instant::now();
    for job in 0..4_000 {
        let cancel = PlannerEvent::Cancel {
            job: format!("job-{job}").into(),
            customer: "entel".into(),
            request_id: job,
        };
        fixture.handle(cancel);
    }
    fixture.tick_at(11_000);
    println!("4000 cancellations: {} writes, {:?}", fixture.commits, started_at.elapsed());
    assert_eq!(fixture.replies.len(), 4_000);
    assert!(fixture.replies.iter().all(|response| response.code == codes::CANCELLED));
    assert!(fixture.commits <= 2 * BUCKETS as u64, "{}", fixture.commits);
}

#[test]
fn a_tick_takes_under_20_ms_with_570_workers_and_5200_tasks() {
    let agent_name = |number: u64| format!("agent-{}", number % 570);
    let record = |number: u64| {
        let mut record = JobRecord::new(job_spec(&format!("job-{number}")), 1);
        let worker = agent_name(number).into();
        record.apply(Transition::Assign { worker }, 2).expect("pending");
        record
    };
    let records: Vec<JobRecord> = (0..5_200).map(record).collect();
    let mut fixture = Fixture::new(&records);
    for agent in 0..570 {
        fixture.send_heartbeat(&agent_name(agent));
        let jobs = (0..5_200).filter(|job| job % 570 == agent);
        let running = |job| report(&format!("job-{job}"), 1, TaskState::Running);
        fixture.connect_agent(&agent_name(agent), jobs.map(running).collect());
    }
    fixture.tick_at(1_500);
    let started_at = std::time::Instant::now();
    for tick in 0..100 {
        fixture.tick_at(2_000 + tick * 50);
    }
    let tick_time = started_at.elapsed() / 100;
    println!("a tick takes {tick_time:?}");
    assert_eq!(fixture.planner.queue_lengths(), (0, 5_200));
    assert!(tick_time.as_millis() < 20, "{tick_time:?}");
}
