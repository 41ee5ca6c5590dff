//! Crashes that agents report only after the leases of the lost runs have expired.

use geraniumpost_batch::{StepSpec, TaskId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cluster::{persistent_step, step, task};
use crate::crashing_fleet::{CrashingFleet, FAILED};

const POISON: TaskId = task(100, 0, 0);
/// Persistent job of a fleet.
const PERSISTENT_JOB: u64 = 1;
/// First of the jobs that are submitted beside the crashing task.
const FIRST_SHORT_JOB: u64 = 1_000;
/// Duration of the tasks of these jobs, and the interval between two jobs, in milliseconds.
const SHORT_MS: u64 = 700;
const SUBMIT_INTERVAL_MS: u64 = 500;
/// Downtimes of minions in milliseconds, all longer than a lease.
const DOWNTIMES_MS: [u64; 2] = [7_000, 9_000];
/// Time until a task must be given up beyond the downtimes of three minions, in milliseconds.
const MAX_DELAY_MS: u64 = 4_000;
/// Time after which all effects of a crashing task are over, in milliseconds.
const SETTLE_MS: u64 = 60_000;
/// Maximum number of crashes of a task: three, and two more starts.
const MAX_CRASHES: usize = 5;
/// Maximum number of starts of a task after its third crash.
const MAX_LATER_STARTS: usize = 2;
const SEEDS: u64 = 20;
/// Time until the lease of a minion that no longer responds has expired and its tasks are placed
/// again, in milliseconds.
const MAX_EXPIRY_MS: u64 = 7_100;
/// Limits of the wait for a report, in milliseconds.
const MAX_PERSISTENT_WAIT_MS: u64 = 2_000;
const MAX_WAIT_MS: u64 = 3_000;
/// Time that a minion is paused, in milliseconds: somewhat longer than a lease.
const PAUSE_MS: u64 = 7_500;
const SUSPECT: TaskId = task(2, 0, 0);

/// A crashing task beside short jobs, on minions that are down for longer than a lease.
#[derive(Debug, Clone, Copy)]
struct Case {
    machines: usize,
    down_ms: u64,
    /// Number of healthy persistent tasks.
    persistent: u32,
    seed: u64,
}

/// Returns one case for each downtime and seed.
fn cases(machines: usize, persistent: u32) -> impl Iterator<Item = Case> {
    let seeds = DOWNTIMES_MS.into_iter().flat_map(|down_ms| (0..SEEDS).map(move |n| (down_ms, n)));
    seeds.map(move |(down_ms, seed)| Case { machines, down_ms, persistent, seed })
}

/// Plays a case, and returns what is wrong: the task is not given up within three downtimes if
/// `is_timed`, it is started more often than allowed, or healthy jobs fail.
fn violation(case: Case, poison: StepSpec, is_timed: bool) -> Option<String> {
    let Case { machines, down_ms, persistent, seed } = case;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = CrashingFleet::new(machines);
    fleet.down_ms = down_ms;
    if persistent > 0 {
        fleet.submit(PERSISTENT_JOB, persistent_step(persistent), 0);
    }
    fleet.advance(rng.random_range(5..80) * 100);
    fleet.submit(2, step(4), SHORT_MS);
    fleet.submit_poison(POISON, poison, 0);
    let max_ms = 3 * down_ms + MAX_DELAY_MS;
    advance_with_short_jobs(&mut fleet, &mut rng, max_ms);
    let is_failed_in_time = fleet.cluster.job_state(POISON.job.0) == FAILED;
    fleet.advance(SETTLE_MS);
    let is_failed = fleet.cluster.job_state(POISON.job.0) == FAILED;
    let (crashes, starts) = (fleet.crash_count(POISON), fleet.starts_after_third_crash(POISON));
    let failed_jobs = fleet.failed_healthy_jobs();
    let is_right = (is_failed_in_time || !is_timed && is_failed)
        && crashes <= MAX_CRASHES
        && starts <= MAX_LATER_STARTS
        && failed_jobs.is_empty();
    (!is_right).then(|| {
        format!(
            "{case:?}: in time {is_failed_in_time}, failed {is_failed}, {crashes} crashes, \
             {starts} starts after the third, healthy jobs failed {failed_jobs:?}"
        )
    })
}

fn advance_with_short_jobs(fleet: &mut CrashingFleet, rng: &mut StdRng, ms: u64) {
    let first_ms = rng.random_range(0..5) * 100;
    fleet.advance(first_ms);
    for number in 0..(ms - first_ms) / SUBMIT_INTERVAL_MS {
        fleet.submit(FIRST_SHORT_JOB + number, step(rng.random_range(2..5)), SHORT_MS);
        fleet.advance(SUBMIT_INTERVAL_MS);
    }
}

fn assert_no_violation(violations: impl Iterator<Item = Option<String>>) {
    let all: Vec<_> = violations.collect();
    let violations: Vec<_> = all.iter().flatten().collect();
    assert!(violations.is_empty(), "{} of {} cases: {violations:#?}", violations.len(), all.len());
}

/// Guards against a task that is started again before the crash of its last minion is known: the
/// count lags behind the starts, and more minions crash than necessary.
#[test]
fn task_is_given_up_at_the_third_crash_that_is_reported_late() {
    let fleets = [(2, 0), (3, 0), (3, 4), (4, 0), (4, 4)];
    let cases = fleets.into_iter().flat_map(|(machines, persistent)| cases(machines, persistent));
    assert_no_violation(cases.map(|case| violation(case, step(1), true)));
}

/// Guards against starts beyond the limit, and a healthy persistent job that is given up, if all
/// minions have crashed: persistent tasks stay suspects for seconds, and not every start can be
/// alone.
#[test]
fn limit_holds_beside_persistent_tasks_on_two_minions() {
    assert_no_violation(cases(2, 4).map(|case| violation(case, step(1), false)));
}

/// Guards against a persistent task that is started too often, as it waits for a shorter time.
#[test]
fn limit_holds_for_persistent_tasks_if_crashes_are_reported_late() {
    let cases = (2..=4).flat_map(|machines| cases(machines, 0));
    assert_no_violation(cases.map(|case| violation(case, persistent_step(1), false)));
}

/// Guards against persistent tasks that start again before minions which are down for 10 s or more
/// are reported, and whose crashes are counted too late.
#[test]
fn limit_holds_for_random_tasks_and_downtimes() {
    let violations = (80..100).map(|seed| {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = CrashingFleet::new(rng.random_range(3..14));
        fleet.down_ms = rng.random_range(50..130) * 100;
        fleet.lost_responses = rng.random_bool(0.3);
        fleet.submit(PERSISTENT_JOB, persistent_step(10), 0);
        fleet.submit(2, step(10), 20_000);
        fleet.advance(6_000);
        let poisons = submit_random_poisons(&mut fleet, &mut rng);
        for number in 0..120 {
            fleet.submit(FIRST_SHORT_JOB + number, step(4), rng.random_range(3..40) * 100);
            fleet.advance(1_000);
        }
        let is_failed = |task: &TaskId| fleet.cluster.job_state(task.job.0) == FAILED;
        let all_failed = poisons.iter().all(is_failed);
        let starts = poisons.iter().map(|task| fleet.starts_after_third_crash(*task)).max();
        let failed_jobs = fleet.failed_healthy_jobs();
        let is_right = all_failed && starts <= Some(MAX_LATER_STARTS) && failed_jobs.is_empty();
        (!is_right).then(|| {
            format!(
                "seed {seed}, down {} ms: all failed {all_failed}, {starts:?} starts after the \
                 third crash, healthy jobs failed {failed_jobs:?}",
                fleet.down_ms
            )
        })
    });
    assert_no_violation(violations);
}

/// Submits up to three jobs with a task that crashes minions, some of them persistent.
fn submit_random_poisons(fleet: &mut CrashingFleet, rng: &mut StdRng) -> Vec<TaskId> {
    let mut poisons = Vec::new();
    for job in 0..rng.random_range(1..4) {
        let count = rng.random_range(1..5);
        let poison = task(100 + job, 0, rng.random_range(0..count));
        let kind = if rng.random_bool(0.2) { persistent_step(count) } else { step(count) };
        fleet.submit_poison(poison, kind, rng.random_range(0..41) * 100);
        fleet.advance(rng.random_range(0..30) * 100);
        poisons.push(poison);
    }
    poisons
}

/// Returns a fleet with a task that one minion has crashed under, and that runs again.
fn fleet_with_suspect(spec: StepSpec) -> CrashingFleet {
    let mut fleet = CrashingFleet::new(3);
    fleet.submit(SUSPECT.job.0, spec, 100_000);
    fleet.advance(500);
    fleet.crash(fleet.machine_with(SUSPECT));
    fleet.advance(3_000);
    assert_eq!(fleet.start_count(SUSPECT), 2);
    fleet
}

/// Returns the time until the suspect starts again, in milliseconds.
fn time_to_restart(fleet: &mut CrashingFleet) -> u64 {
    let starts = fleet.start_count(SUSPECT);
    let mut elapsed_ms = 0;
    while fleet.start_count(SUSPECT) == starts {
        fleet.advance(100);
        elapsed_ms += 100;
        assert!(elapsed_ms < SETTLE_MS, "the task does not start again");
    }
    elapsed_ms
}

/// Guards against tasks that wait for the report of an agent that was lost with its VM.
#[test]
fn lost_vm_holds_no_task() {
    for spec in [step(1), persistent_step(1)] {
        let mut fleet = fleet_with_suspect(spec);
        fleet.lose(fleet.machine_with(SUSPECT));
        let restart_ms = time_to_restart(&mut fleet);
        assert!(restart_ms <= MAX_EXPIRY_MS, "down for {restart_ms} ms");
    }
}

/// Guards against a wait without limit for a minion that never responds again, and for its agent's
/// report.
#[test]
fn wait_for_a_report_is_limited() {
    let limits = [(step(1), MAX_WAIT_MS), (persistent_step(1), MAX_PERSISTENT_WAIT_MS)];
    for (spec, max_wait_ms) in limits {
        let mut fleet = fleet_with_suspect(spec);
        fleet.down_ms = SETTLE_MS;
        fleet.crash(fleet.machine_with(SUSPECT));
        let restart_ms = time_to_restart(&mut fleet);
        assert!(restart_ms > max_wait_ms + 5_000, "no wait: {restart_ms} ms");
        assert!(restart_ms <= MAX_EXPIRY_MS + max_wait_ms, "down for {restart_ms} ms");
    }
}

/// Guards against a task that waits although its minion responds again, and so has not crashed.
#[test]
fn wait_for_a_report_ends_when_the_minion_responds() {
    let mut fleet = fleet_with_suspect(step(1));
    fleet.pause(fleet.machine_with(SUSPECT), PAUSE_MS);
    let restart_ms = time_to_restart(&mut fleet);
    assert!((PAUSE_MS..=PAUSE_MS + 200).contains(&restart_ms), "down for {restart_ms} ms");
}

/// Guards against an unexplained wait: operators see for how long the report is awaited.
#[test]
fn log_names_the_wait_for_a_report() {
    let mut fleet = fleet_with_suspect(persistent_step(1));
    fleet.down_ms = SETTLE_MS;
    fleet.crash(fleet.machine_with(SUSPECT));
    fleet.advance(MAX_EXPIRY_MS + MAX_PERSISTENT_WAIT_MS);
    let lines = &fleet.cluster.log_lines;
    assert!(lines.iter().any(|line| line.contains(" report_wait_ms=")), "{lines:#?}");
}
