//! Jobs of which two tasks crash each minion that starts them, in small fleets.

use std::ops::Range;

use geraniumpost_batch::{Demand, StepSpec, TaskId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cluster::{persistent_step, step, task};
use crate::crashing_fleet::{CrashingFleet, FAILED};

/// The two tasks that crash minions.
const POISONS: [TaskId; 2] = [task(100, 0, 0), task(100, 0, 1)];

/// Time in which a job with crashing tasks must have been given up, in milliseconds.
const GIVE_UP_MS: u64 = 40_000;
/// Time after this in which all other jobs must be complete, in milliseconds.
const FINISH_MS: u64 = 14_000;

/// Plays a job with two crashing tasks in a fleet of three minions, beside persistent tasks, short
/// jobs and a wide job.
fn fleet_after_two_crashing_tasks(seed: u64) -> CrashingFleet {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = CrashingFleet::new(3);
    fleet.submit(1, persistent_step(rng.random_range(2..5)), 0);
    fleet.submit(2, persistent_step(rng.random_range(2..5)), 0);
    fleet.advance(rng.random_range(0..30) * 100);
    fleet.submit_poisons(&POISONS, step(2));
    let demand = Demand { milli_cpus: 50, memory_mb: 10, accelerators: 0 };
    for job in 10..14 {
        fleet.submit(job, StepSpec { demand, ..step(60) }, 700);
    }
    for second in 0..60 {
        fleet.submit(1_000 + second, step(3), 700);
        fleet.down_ms = rng.random_range(23..30) * 100;
        if rng.random_bool(0.05) {
            fleet.take_over();
        }
        fleet.advance(1_000);
    }
    fleet
}

/// Returns the healthy jobs that are shown as failed, each with the seed of its play.
fn failed_healthy_jobs(seeds: Range<u64>) -> Vec<(u64, u64)> {
    let plays = seeds.map(|seed| (seed, fleet_after_two_crashing_tasks(seed)));
    let mut failed = Vec::new();
    for (seed, mut fleet) in plays {
        fleet.check_poisons_failed(5);
        failed.extend(fleet.failed_healthy_jobs().into_iter().map(|job| (seed, job)));
    }
    failed
}

/// Guards against a crash that is put down to a healthy task: the run that crashes the minion
/// belongs to a job which is given up for a sibling of that run before the crash is reported, and
/// the crashes of the job's tasks are forgotten with its last run.
#[test]
fn crash_of_a_sibling_of_a_task_that_was_given_up_is_put_down_to_nobody_else() {
    assert_eq!(failed_healthy_jobs(5..15), []);
}

/// Guards against a healthy task that is given up because it ties with a crashing one: both were
/// suspected equally often, but one has just started and the other has worked for a second.
#[test]
fn task_that_just_started_is_suspected_before_one_that_has_worked() {
    assert_eq!(failed_healthy_jobs(15..36), []);
}

/// Submits wide jobs of 60 small tasks that take 3 s each.
fn submit_wide_jobs(fleet: &mut CrashingFleet, first_job: u64) {
    let demand = Demand { milli_cpus: 50, memory_mb: 10, accelerators: 0 };
    for job in first_job..first_job + 4 {
        fleet.submit(job, StepSpec { demand, ..step(60) }, 3_000);
    }
}

/// Guards against hundreds of suspects that run one after the other, for the crashes of a task that
/// was given up: no later crash could be put down to it, and their jobs would wait for a minute and
/// more.
#[test]
fn suspects_do_not_wait_after_a_task_was_given_up() {
    for seed in 0..2 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = CrashingFleet::new(3);
        fleet.submit(1, persistent_step(rng.random_range(2..5)), 0);
        fleet.submit(2, persistent_step(rng.random_range(2..5)), 0);
        fleet.advance(rng.random_range(0..30) * 100);
        submit_wide_jobs(&mut fleet, 10);
        fleet.submit_poisons(&POISONS, step(2));
        let mut waited_ms = 0;
        while fleet.cluster.job_state(100) != FAILED {
            assert!(waited_ms < GIVE_UP_MS, "seed {seed}: the crashing job is given up");
            fleet.down_ms = rng.random_range(23..30) * 100;
            if waited_ms < 10_000 && waited_ms.is_multiple_of(3_000) {
                submit_wide_jobs(&mut fleet, 20 + waited_ms / 100);
            }
            fleet.advance(500);
            waited_ms += 500;
        }
        fleet.advance(FINISH_MS);
        assert_eq!(fleet.incomplete_healthy_jobs(), [1, 2], "seed {seed}: the persistent jobs");
    }
}
