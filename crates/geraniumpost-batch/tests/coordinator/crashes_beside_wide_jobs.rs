//! Several jobs that crash minions, beside wide jobs and persistent tasks.

use std::collections::BTreeMap;

use geraniumpost_batch::{Demand, StepSpec, TaskId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cluster::{persistent_step, step, task};
use crate::crashing_fleet::CrashingFleet;

const MACHINES: usize = 6;
const PERSISTENT_JOBS: [u64; 2] = [1, 2];
const FIRST_WIDE_JOB: u64 = 10;
const WIDE_JOBS_PER_BURST: u64 = 4;
const CRASHING_JOBS: [u64; 3] = [100, 101, 102];
/// Number of tasks of each crashing job, all of which crash minions.
const CRASHING_TASKS: u32 = 2;
const FIRST_SHORT_JOB: u64 = 1_000;
/// Duration of the healthy tasks, in milliseconds.
const TASK_MS: u64 = 700;
const STEP_MS: u64 = 100;
/// Interval between two short jobs, in milliseconds.
const SHORT_JOB_INTERVAL_MS: u64 = 300;
/// Time in which jobs are submitted, in milliseconds.
const SUBMIT_MS: u64 = 9_000;
/// Time after that in which all healthy jobs must be complete, in milliseconds: a takeover, the
/// expiry of two leases, and the duration of the tasks.
const FINISH_MS: u64 = 45_000;
/// Duration of a pause, which outlasts a lease, in milliseconds.
const PAUSE_MS: u64 = 6_000;
/// Maximum number of starts of a task after its third crash.
const MAX_LATER_STARTS: usize = 2;

/// Returns a fleet after jobs, takeovers and pauses of minions at moments that the seed determines.
fn fleet_after_crashing_jobs(seed: u64) -> CrashingFleet {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = CrashingFleet::new(MACHINES);
    for job in PERSISTENT_JOBS {
        fleet.submit(job, persistent_step(rng.random_range(2..5)), 0);
    }
    let mut moment =
        |from_ms: u64, to_ms: u64| rng.random_range(from_ms..to_ms) / STEP_MS * STEP_MS;
    let crashing: BTreeMap<u64, u64> =
        CRASHING_JOBS.map(|job| (job, moment(300, 3_000))).into_iter().collect();
    let bursts_ms = [moment(0, 3_000), moment(3_000, 7_000)];
    let takeover_ms = moment(2_000, 12_000);
    let pause_ms = moment(0, 6_000);
    for now_ms in (0..SUBMIT_MS + FINISH_MS).step_by(STEP_MS as usize) {
        for job in crashing.iter().filter(|(_, at_ms)| **at_ms == now_ms).map(|(job, _)| *job) {
            let tasks: Vec<TaskId> = (0..CRASHING_TASKS).map(|index| task(job, 0, index)).collect();
            fleet.submit_poisons(&tasks, step(CRASHING_TASKS));
        }
        for burst in (0..).zip(bursts_ms).filter(|(_, at_ms)| *at_ms == now_ms).map(|(n, _)| n) {
            submit_wide_jobs(&mut fleet, FIRST_WIDE_JOB + burst * WIDE_JOBS_PER_BURST);
        }
        if now_ms < SUBMIT_MS && now_ms.is_multiple_of(SHORT_JOB_INTERVAL_MS) {
            let job = FIRST_SHORT_JOB + now_ms / SHORT_JOB_INTERVAL_MS;
            fleet.submit(job, step(rng.random_range(1..5)), TASK_MS);
        }
        if now_ms == takeover_ms && seed.is_multiple_of(2) {
            fleet.take_over();
        }
        if now_ms == pause_ms && seed.is_multiple_of(3) {
            fleet.pause_responsive(rng.random_range(0..MACHINES), PAUSE_MS);
        }
        fleet.down_ms = rng.random_range(23..30) * 100;
        fleet.advance(STEP_MS);
    }
    fleet
}

fn submit_wide_jobs(fleet: &mut CrashingFleet, first_job: u64) {
    let demand = Demand { milli_cpus: 50, memory_mb: 10, accelerators: 0 };
    for job in first_job..first_job + WIDE_JOBS_PER_BURST {
        fleet.submit(job, StepSpec { demand, ..step(60) }, TASK_MS);
    }
}

/// Guards against healthy jobs that are given up for the crashes of other jobs, several of which
/// crash minions at the same time. One job in a thousand may fail.
#[test]
fn hardly_any_healthy_job_fails_beside_several_crashing_jobs() {
    let (mut jobs, mut failed) = (0, Vec::new());
    for seed in 0..20 {
        let mut fleet = fleet_after_crashing_jobs(seed);
        jobs += fleet.healthy_job_count();
        let failed_now = fleet.failed_healthy_jobs();
        let mut incomplete = fleet.incomplete_healthy_jobs();
        incomplete.retain(|job| !PERSISTENT_JOBS.contains(job) && !failed_now.contains(job));
        assert!(incomplete.is_empty(), "seed {seed}: {incomplete:?}");
        for (job, index) in CRASHING_JOBS.iter().flat_map(|job| [(*job, 0), (*job, 1)]) {
            let starts = fleet.starts_after_third_crash(task(job, 0, index));
            assert!(starts <= MAX_LATER_STARTS, "seed {seed}: job {job} task {index}: {starts}");
        }
        failed.extend(failed_now.into_iter().map(|job| (seed, job)));
    }
    assert!(failed.len() * 1_000 <= jobs, "{} of {jobs} failed: {failed:?}", failed.len());
}
