//! Crashes that are put down to a task which was given up.

use geraniumpost_batch::{CallerResponse, JobState};

use crate::cluster::{Cluster, labelled_step};

/// Job whose first task crashes minions labelled `a`, and whose second one those labelled `b`.
const CRASHING_JOB: u64 = 100;
/// Healthy job of eight tasks that run on minions labelled `h`.
const HEALTHY_JOB: u64 = 1;
/// Time after which tasks that were lost with their minion are placed again, in milliseconds.
const BACKOFF_MS: u64 = 1_000;

fn join(cluster: &mut Cluster, minion: &str, labels: &[&str]) {
    cluster.join_labelled(minion, labels);
    cluster.advance(BACKOFF_MS);
    cluster.carry_out_orders();
}

/// Guards against a healthy task that is given up for crashes of another one: three minions have
/// crashed under both, the other one is given up, and a sibling of that one with a single crash
/// crashes the minion of the healthy task.
#[test]
fn explained_crashes_make_nobody_the_main_suspect() {
    let mut cluster = Cluster::new();
    join(&mut cluster, "m1-1", &["a", "h"]);
    join(&mut cluster, "m2-1", &["b"]);
    cluster.submit(CRASHING_JOB, vec![labelled_step(1, "a"), labelled_step(1, "b")]);
    cluster.submit(HEALTHY_JOB, vec![labelled_step(8, "h")]);
    cluster.carry_out_orders();
    cluster.crash("m2-1");
    cluster.crash("m1-1");
    join(&mut cluster, "m1-2", &["a", "h"]);
    cluster.crash("m1-2");
    join(&mut cluster, "m1-3", &["a", "h"]);
    cluster.crash("m1-3");
    join(&mut cluster, "m1-4", &["a"]);
    join(&mut cluster, "m2-2", &["b", "h"]);
    assert_eq!(cluster.running_tasks().len(), 3, "both crashing tasks and one suspect run");
    cluster.heartbeat_with_unresponsive_minion("m2-2");
    cluster.crash("m1-4");
    let failed = CallerResponse::State(JobState::Failed);
    assert_eq!(cluster.job_state(CRASHING_JOB), failed, "four minions have crashed");
    cluster.crash("m2-2");
    let running = CallerResponse::State(JobState::Running);
    assert_eq!(cluster.job_state(HEALTHY_JOB), running);
}

/// Guards against suspects that start in small groups after a task was given up, because two
/// minions have crashed under them and a sibling of that task.
#[test]
fn crashes_of_a_suspected_sibling_are_explained() {
    let mut cluster = Cluster::new();
    join(&mut cluster, "m1-1", &["a"]);
    join(&mut cluster, "m2-1", &["b", "h"]);
    cluster.submit(CRASHING_JOB, vec![labelled_step(1, "a"), labelled_step(1, "b")]);
    cluster.submit(HEALTHY_JOB, vec![labelled_step(8, "h")]);
    cluster.carry_out_orders();
    cluster.crash("m2-1");
    join(&mut cluster, "m2-2", &["b", "h"]);
    cluster.crash("m2-2");
    for (crashed, next) in [("m1-1", "m1-2"), ("m1-2", "m1-3"), ("m1-3", "m1-4")] {
        cluster.crash(crashed);
        join(&mut cluster, next, &["a"]);
    }
    let failed = CallerResponse::State(JobState::Failed);
    assert_eq!(
        cluster.job_state(CRASHING_JOB),
        failed,
        "three minions have crashed under one task"
    );
    join(&mut cluster, "m2-3", &["b", "h"]);
    assert_eq!(cluster.running_tasks().len(), 8, "all healthy tasks start together");
}

/// Guards against a healthy task that is given up for the last crash of a suspected sibling of a
/// task that was given up, because the crashes of that sibling are not counted any longer.
#[test]
fn suspected_sibling_remains_a_suspect() {
    let mut cluster = Cluster::new();
    join(&mut cluster, "m1-1", &["a"]);
    join(&mut cluster, "m3-1", &["h"]);
    cluster.submit(HEALTHY_JOB, vec![labelled_step(1, "h")]);
    cluster.submit(CRASHING_JOB, vec![labelled_step(1, "a"), labelled_step(1, "b")]);
    cluster.carry_out_orders();
    cluster.crash("m3-1");
    for minion in ["m2-1", "m2-2"] {
        join(&mut cluster, minion, &["b", "h"]);
        assert_eq!(cluster.running_tasks().len(), 3, "{minion} runs two tasks");
        cluster.crash(minion);
    }
    join(&mut cluster, "m2-3", &["b", "h"]);
    for _ in 0..4 {
        cluster.advance(500);
        cluster.heartbeat("m2-3");
        cluster.poll("m2-3");
        cluster.carry_out_orders();
    }
    assert_eq!(cluster.running_tasks().len(), 3, "both suspects run on the minion");
    cluster.heartbeat_with_unresponsive_minion("m2-3");
    for (crashed, next) in [("m1-1", "m1-2"), ("m1-2", "m1-3"), ("m1-3", "m1-4")] {
        cluster.crash(crashed);
        join(&mut cluster, next, &["a"]);
    }
    let failed = CallerResponse::State(JobState::Failed);
    assert_eq!(
        cluster.job_state(CRASHING_JOB),
        failed,
        "three minions have crashed under one task"
    );
    cluster.crash("m2-3");
    assert_ne!(cluster.job_state(HEALTHY_JOB), failed);
}
