//! Attribution of failed runs to jobs or workers, and the quarantine of workers.

mod placement_support;

use assert_matches::assert_matches;
use geraniumpost_core::placement::{Decision, PlacementRequest, Reason, RunOutcome};
use placement_support::{TestPlanner, amount, name, normal_request, started_on, worker};

const TICK_MS: u64 = 1000;

/// Creates requests of distinct healthy jobs.
fn healthy_jobs(count: usize) -> Vec<PlacementRequest> {
    (0..count).map(|i| normal_request(&format!("job-{i}"), "study", amount(1000, 1000))).collect()
}

/// Places the jobs in `queue` every second for `ticks` seconds, and returns all decisions. Runs for
/// which `fails(job, worker)` holds fail after a second and are queued again; others succeed after
/// a minute.
fn run_queue(
    planner: &mut TestPlanner,
    mut queue: Vec<PlacementRequest>,
    ticks: u64,
    fails: fn(&str, &str) -> bool,
) -> Vec<Decision> {
    let mut all = Vec::new();
    let mut running: Vec<(u64, PlacementRequest)> = Vec::new();
    for now in (0..ticks).map(|tick| tick * TICK_MS) {
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(since, request)| {
            let on = planner.fleet.worker_of(request.job()).expect("running").name().clone();
            now - since >= if fails(request.job(), &on) { TICK_MS } else { 60_000 }
        });
        running = rest;
        for (_, request) in ended {
            let on = planner.fleet.worker_of(request.job()).expect("running").name().clone();
            if fails(request.job(), &on) {
                planner.end_run(now, request.job(), RunOutcome::Failed);
                queue.push(request);
            } else {
                planner.end_run(now, request.job(), RunOutcome::Completed);
            }
        }
        let decided = planner.place(now, &queue);
        for decision in &decided {
            let leaves_queue = matches!(decision, Decision::Start { .. } | Decision::GiveUp { .. });
            if let Some(at) =
                queue.iter().position(|w| leaves_queue && Some(w.job()) == decision.job())
            {
                let request = queue.remove(at);
                if matches!(decision, Decision::Start { .. }) {
                    running.push((now, request));
                }
            }
        }
        all.extend(decided);
    }
    all
}

/// The disk of one VM is broken, so every run there fails within a second and the VM always has
/// free capacity. Without a quarantine, job after job would be started there, and healthy jobs
/// would be given up.
#[test]
fn failing_worker_is_quarantined_before_it_drains_the_queue() {
    let mut planner =
        TestPlanner::new([worker("w1", "r1"), worker("w2", "r2"), worker("failing", "r3")]);
    let decided = run_queue(&mut planner, healthy_jobs(60), 300, |_, on| on == "failing");
    let quarantines = |d: &&Decision| matches!(d, Decision::Quarantine { .. });
    assert!(
        decided.iter().filter(quarantines).count() >= 1,
        "the failing worker is not quarantined"
    );
    let given_up: Vec<_> =
        decided.iter().filter(|d| matches!(d, Decision::GiveUp { .. })).collect();
    assert!(given_up.is_empty(), "healthy jobs were given up: {given_up:?}");
    let started =
        |d: &&Decision| matches!(d, Decision::Start { worker, .. } if worker == &name("failing"));
    let started = decided.iter().filter(started).count();
    assert!(started < 30, "{started} jobs started on the failing worker");
}

/// A quarantined worker has been repaired. The worker is probed with one job and gets further jobs
/// once the probe succeeds. Without probes its capacity would be lost permanently.
#[test]
fn repaired_worker_is_probed_and_released() {
    let mut planner = TestPlanner::new([worker("failing", "r1")]);
    for now in [0, 1000, 2000] {
        let request = normal_request(&format!("job-{now}"), "study", amount(1000, 1000));
        planner.start(now, &request, &name("failing"), amount(1000, 1000));
        planner.end_run(now + 500, request.job(), RunOutcome::Failed);
    }
    let queue = healthy_jobs(4);
    let decided = planner.place(3000, &queue);
    assert_matches!(
        decided[0],
        Decision::Quarantine { reason: Reason::WorkerFailsJobs { jobs: 3, .. }, .. }
    );
    assert_eq!(decided.iter().filter(|d| matches!(d, Decision::Start { .. })).count(), 0);
    let decided = planner.place(34_000, &queue);
    assert_matches!(decided[0], Decision::Release { reason: Reason::ProbeStarted, .. });
    let probes: Vec<_> =
        queue.iter().filter(|request| started_on(&decided, request.job()).is_some()).collect();
    assert_eq!(probes.len(), 1, "a probe consists of one job");
    let waiting: Vec<PlacementRequest> =
        queue.iter().filter(|w| w.job() != probes[0].job()).cloned().collect();
    assert_eq!(
        planner
            .place(35_000, &waiting)
            .iter()
            .filter(|d| matches!(d, Decision::Start { .. }))
            .count(),
        0
    );
    let decided = planner.place(65_000, &waiting);
    assert_matches!(decided[0], Decision::Release { reason: Reason::ProbeSucceeded, .. });
    assert_eq!(decided.iter().filter(|d| matches!(d, Decision::Start { .. })).count(), 3);
}

/// A job with a bad input fails on every worker. The job must not be retried forever, and the
/// workers on which it failed must not be quarantined.
#[test]
fn always_failing_job_is_given_up_without_quarantine() {
    let mut planner =
        TestPlanner::new([worker("w1", "r1"), worker("w2", "r2"), worker("w3", "r3")]);
    let poison = [normal_request("poison", "study", amount(1000, 1000))];
    let decided = run_queue(&mut planner, poison.to_vec(), 60, |_, _| true);
    let starts: Vec<_> = decided
        .iter()
        .filter_map(|d| match d {
            Decision::Start { worker, .. } => Some(worker.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(starts.len(), 3, "starts up to the attempts of its class");
    let mut workers = starts.clone();
    workers.sort();
    workers.dedup();
    assert_eq!(workers.len(), 3, "starts on different workers: {starts:?}");
    let given_up = decided.iter().find(|d| matches!(d, Decision::GiveUp { .. })).expect("given up");
    assert!(given_up.to_string().contains("failed 3 times on sound workers"), "{given_up}");
    assert!(!decided.iter().any(|d| matches!(d, Decision::Quarantine { .. })));
}

/// Several jobs with bad inputs are submitted at once. Because healthy jobs succeed on the same two
/// workers, the failures must not quarantine both workers.
#[test]
fn failing_jobs_among_healthy_ones_quarantine_at_most_one_worker() {
    let mut planner = TestPlanner::new([worker("w1", "r1"), worker("w2", "r2")]);
    let mut queue = healthy_jobs(40);
    queue.extend(
        (0..6).map(|i| normal_request(&format!("poison-{i}"), "study", amount(1000, 1000))),
    );
    let decided = run_queue(&mut planner, queue, 200, |job, _| job.starts_with("poison"));
    let quarantines: Vec<_> =
        decided.iter().filter(|d| matches!(d, Decision::Quarantine { .. })).collect();
    assert!(quarantines.len() <= 1, "{quarantines:?}");
    let given_up = decided.iter().filter(|d| matches!(d, Decision::GiveUp { .. })).count();
    assert_eq!(given_up, 6);
}

/// A job fails on a VM that is then quarantined, and later on two other VMs. If the first failure
/// counted, the job would have used up its three attempts and be given up.
#[test]
fn failures_on_quarantined_worker_do_not_count_against_jobs() {
    let mut planner =
        TestPlanner::new([worker("w1", "r1"), worker("w2", "r2"), worker("failing", "r3")]);
    let need = amount(1000, 1000);
    let study = normal_request("unlucky", "study", need);
    for (now, on) in [(0, "failing"), (100_000, "w1"), (200_000, "w2")] {
        planner.start(now, &study, &name(on), need);
        planner.end_run(now + 1000, study.job(), RunOutcome::Failed);
        if on == "failing" {
            for job in ["a", "b"] {
                planner.start(now, &normal_request(job, "study", need), &name(on), need);
                planner.end_run(now + 1000, &name(job), RunOutcome::Failed);
            }
            planner.place(now + 1000, &[]);
        }
    }
    let decided = planner.place(300_000, &[study]);
    assert!(!decided.iter().any(|d| matches!(d, Decision::GiveUp { .. })), "{decided:?}");
}
