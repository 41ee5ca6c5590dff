//! To which task a crash of a minion is put down, and which tasks start beside a suspect.

use geraniumpost_batch::{CallerResponse, Demand, EndKind, JobState, StepSpec, TaskId};
use geraniumpost_schema::Name;

use crate::cluster::{Cluster, labelled_step, persistent_step, step, task};
use crate::crashing_fleet::{CrashingFleet, FAILED};

/// Job whose task crashes minions labelled `a`.
const CRASHING_JOB: u64 = 100;
const CRASHING: TaskId = task(CRASHING_JOB, 0, 0);
/// Healthy job of two tasks that run on minions labelled `h`.
const HEALTHY_JOB: u64 = 1;
const HEALTHY: TaskId = task(HEALTHY_JOB, 0, 0);
const SECOND: TaskId = task(HEALTHY_JOB, 0, 1);
/// Further healthy job.
const OTHER_JOB: u64 = 2;
/// Time after which tasks that were lost with their minion are placed again, in milliseconds.
const BACKOFF_MS: u64 = 1_000;
/// Time in which suspects in groups must be complete, in milliseconds: twelve groups that start one
/// after the other, each known to work after 1.5 s, and some time for the first of them to start.
const GROUPS_MS: u64 = 12 * 1_500 + 4_000;
/// Interval between two polls, in milliseconds.
const POLL_MS: u64 = 400;
/// Time for which a suspect waits for a minion of its own, and in which it starts, in milliseconds.
const LONE_START_MS: u64 = 3_000;

/// Joins a minion with labels, whose tasks start after [`BACKOFF_MS`].
fn join(cluster: &mut Cluster, minion: &str, labels: &[&str]) {
    cluster.join_labelled(minion, labels);
    cluster.advance(BACKOFF_MS);
    cluster.poll(minion);
    cluster.carry_out_orders();
}

fn is_running(cluster: &Cluster, task: TaskId) -> bool {
    cluster.running_tasks().iter().any(|(running, ..)| *running == task)
}

const RUNNING: CallerResponse = CallerResponse::State(JobState::Running);

/// Returns a cluster in which a minion has crashed under the crashing task and both tasks of the
/// healthy job.
fn cluster_after_first_crash() -> Cluster {
    let mut cluster = Cluster::new();
    join(&mut cluster, "m1-1", &["a", "h"]);
    cluster.submit(CRASHING_JOB, vec![labelled_step(1, "a")]);
    cluster.submit(HEALTHY_JOB, vec![labelled_step(2, "h")]);
    cluster.carry_out_orders();
    cluster.crash("m1-1");
    cluster
}

/// Lets two more minions crash under the crashing task and the first task of the healthy job.
/// `prepare_last` is called before the last crash.
fn crash_twice_more(cluster: &mut Cluster, prepare_last: impl Fn(&mut Cluster)) {
    for (minion, running) in [("m1-2", 3), ("m1-3", 2)] {
        join(cluster, minion, &["a", "h"]);
        assert!(is_running(cluster, CRASHING) && is_running(cluster, HEALTHY), "{minion}");
        assert_eq!(cluster.running_tasks().len(), running, "{minion}");
        if minion == "m1-3" {
            prepare_last(cluster);
        }
        cluster.crash(minion);
    }
}

/// Completes the second task of the healthy job on a minion of its own. It would have to be isolated
/// otherwise, and keep the first one waiting.
fn complete_second_task(cluster: &mut Cluster) {
    join(cluster, "m2-1", &["h"]);
    cluster.end_run(&"m2-1".into(), SECOND, EndKind::Done);
    cluster.poll("m2-1");
    cluster.crash("m2-1");
}

/// Guards against jobs that wait for a minute and more after three crashes under very many tasks,
/// which each minion would start one by one.
#[test]
fn many_suspects_with_three_crashes_start_in_groups() {
    let mut fleet = CrashingFleet::new(3);
    let demand = Demand { milli_cpus: 100, memory_mb: 10, accelerators: 0 };
    fleet.submit(1, StepSpec { demand, ..step(150) }, 1_000);
    for _ in 0..3 {
        fleet.advance(500);
        (0..3).for_each(|machine| fleet.crash(machine));
        fleet.advance(2_500);
    }
    fleet.advance(GROUPS_MS);
    assert_eq!(fleet.incomplete_healthy_jobs(), [0; 0]);
}

/// Guards against a healthy job that is given up at its fifth crash together with the task whose
/// start has caused it, although the healthy task had worked before that start.
#[test]
fn task_that_had_worked_is_not_given_up_with_the_one_that_started() {
    let mut fleet = CrashingFleet::new(1);
    fleet.submit(HEALTHY_JOB, persistent_step(1), 0);
    fleet.submit_poison(CRASHING, step(1), 0);
    for crashes in 1..=5 {
        while fleet.crash_count(CRASHING) < crashes {
            fleet.advance(100);
        }
        if crashes == 3 || crashes == 4 {
            // The successor does not know that the healthy task had worked.
            fleet.take_over();
        }
    }
    fleet.advance(10_000);
    assert_eq!(fleet.cluster.job_state(CRASHING_JOB), FAILED);
    assert!(fleet.failed_healthy_jobs().is_empty());
}

/// Guards against a healthy job that is given up at its fourth crash although two of the four are
/// put down to a task that was given up.
#[test]
fn explained_crashes_do_not_count_towards_an_early_verdict() {
    let mut cluster = cluster_after_first_crash();
    // The successor does not know which crashes the tasks had in common.
    cluster.take_over();
    crash_twice_more(&mut cluster, |_| {});
    join(&mut cluster, "m1-4", &["a"]);
    cluster.crash("m1-4");
    assert_eq!(cluster.job_state(CRASHING_JOB), FAILED);
    join(&mut cluster, "m2-1", &["h"]);
    cluster.end_run(&"m2-1".into(), SECOND, EndKind::Done);
    cluster.poll("m2-1");
    assert!(is_running(&cluster, HEALTHY));
    cluster.crash("m2-1");
    assert_eq!(cluster.job_state(HEALTHY_JOB), RUNNING);
}

/// Guards against a healthy job that is given up for a crash which another suspect may have caused,
/// while the task that has caused all earlier ones is elsewhere and not given up yet.
#[test]
fn suspect_with_a_rival_elsewhere_is_not_given_up_early() {
    let mut cluster = cluster_after_first_crash();
    crash_twice_more(&mut cluster, |_| {});
    cluster.submit(OTHER_JOB, vec![labelled_step(1, "q")]);
    join(&mut cluster, "m3-1", &["q"]);
    cluster.crash("m3-1");
    join(&mut cluster, "m1-4", &["a"]);
    cluster.heartbeat_with_unresponsive_minion("m1-4");
    join(&mut cluster, "m2-1", &["h", "q"]);
    assert!(is_running(&cluster, HEALTHY) && is_running(&cluster, task(OTHER_JOB, 0, 0)));
    cluster.crash("m2-1");
    assert_eq!(cluster.job_state(HEALTHY_JOB), RUNNING);
}

/// Guards against a crashing task that is started three times after its third crash: one of its crashes
/// was not reported, and two crashing tasks that have met the same crashes excuse each other.
#[test]
fn suspect_that_starts_beside_new_tasks_is_given_up_in_spite_of_a_rival() {
    let mut cluster = cluster_after_first_crash();
    crash_twice_more(&mut cluster, complete_second_task);
    join(&mut cluster, "m2-2", &["h"]);
    assert!(is_running(&cluster, HEALTHY), "the rival starts elsewhere");
    cluster.heartbeat_with_unresponsive_minion("m2-2");
    cluster.submit(OTHER_JOB, vec![labelled_step(2, "a")]);
    join(&mut cluster, "m1-4", &["a"]);
    assert!(is_running(&cluster, CRASHING) && is_running(&cluster, task(OTHER_JOB, 0, 0)));
    cluster.crash("m1-4");
    assert_eq!(cluster.job_state(CRASHING_JOB), FAILED);
}

/// Guards against a suspect with three crashes that starts together with all that was lost in the
/// last of them, so that it is given up for the crash of a task with fewer.
#[test]
fn suspect_with_three_crashes_starts_apart_from_those_lost_with_it() {
    let mut cluster = cluster_after_first_crash();
    crash_twice_more(&mut cluster, |cluster| {
        complete_second_task(cluster);
        cluster.submit(OTHER_JOB, vec![labelled_step(4, "h")]);
        cluster.carry_out_orders();
    });
    let others = |cluster: &Cluster| {
        (0..4).filter(|index| is_running(cluster, task(OTHER_JOB, 0, *index))).count()
    };
    join(&mut cluster, "m1-4", &["h"]);
    assert_eq!(others(&cluster), 4);
    assert!(!is_running(&cluster, HEALTHY), "the others start beside it");
    for _ in 0..LONE_START_MS / POLL_MS {
        cluster.advance(POLL_MS);
        cluster.poll("m1-4");
        cluster.carry_out_orders();
    }
    assert!(is_running(&cluster, HEALTHY), "the suspect waits no longer than necessary");
}

/// Guards against tasks that are lost because they start beside a suspect while there is room
/// elsewhere.
#[test]
fn task_does_not_start_beside_a_starting_suspect() {
    let mut cluster = Cluster::new();
    join(&mut cluster, "m1-1", &["a", "h"]);
    cluster.submit(CRASHING_JOB, vec![labelled_step(1, "a")]);
    cluster.carry_out_orders();
    for (crashed, next) in [("m1-1", "m1-2"), ("m1-2", "m1-3")] {
        cluster.crash(crashed);
        join(&mut cluster, next, &["a", "h"]);
    }
    assert!(is_running(&cluster, CRASHING));
    join(&mut cluster, "m2-1", &["b", "h"]);
    cluster.submit(OTHER_JOB, vec![labelled_step(8, "b")]);
    cluster.submit(HEALTHY_JOB, vec![labelled_step(1, "h")]);
    cluster.carry_out_orders();
    let on_busy_minion = cluster
        .running_tasks()
        .iter()
        .any(|(running, minion, _)| *running == HEALTHY && *minion == Name::from("m2-1"));
    assert!(on_busy_minion, "the minion with eight tasks is preferred");
}
