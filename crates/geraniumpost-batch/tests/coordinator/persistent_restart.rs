//! Placement of persistent tasks that lost their run while the fleet is full of short tasks.

use geraniumpost_batch::{Demand, EndKind, FromAgent, JobId, MinionInfo, StepSpec, TaskId};
use geraniumpost_schema::Name;

use crate::cluster::{Cluster, persistent_step, step, task};

/// Time after which a persistent task must run again although the fleet is full, in milliseconds.
const MAX_DOWNTIME_MS: u64 = 6_000;
/// Time after the end of a minion before a new run of its tasks goes before short tasks, in
/// milliseconds.
const INTERRUPTION_MS: u64 = 2_500;
/// Time between two ends of short runs, in milliseconds.
const SHORT_RUN_INTERVAL_MS: u64 = 100;

fn with_cpus(cpus: i64, step: StepSpec) -> StepSpec {
    let demand = Demand { milli_cpus: cpus * 1_000, memory_mb: 1_000, accelerators: 0 };
    StepSpec { demand, ..step }
}

fn is_running(cluster: &Cluster, wanted: TaskId) -> bool {
    cluster.running_tasks().iter().any(|(task, _, _)| *task == wanted)
}

fn is_short(task: TaskId) -> bool {
    task.job >= JobId(100)
}

/// Returns the number of running short tasks on a minion.
fn short_run_count(cluster: &Cluster, minion: &str) -> usize {
    let on_minion = cluster.running.get(&Name::from(minion)).into_iter().flatten();
    on_minion.filter(|(task, _)| is_short(**task)).count()
}

/// Ends one short run on each minion, as more short jobs arrive than the minions can run.
fn end_one_short_run_each(cluster: &mut Cluster) {
    for (minion, runs) in cluster.running.clone() {
        if let Some(task) = runs.into_keys().find(|task| is_short(*task)) {
            cluster.end_run(&minion, task, EndKind::Done);
        }
        cluster.poll(&minion);
    }
    cluster.carry_out_orders();
    cluster.advance(SHORT_RUN_INTERVAL_MS);
    cluster.carry_out_orders();
}

/// Returns two minions of 16 processors, each with a persistent task of 8 processors of job 1 and 8
/// short tasks, and 400 more short tasks that wait.
fn full_cluster() -> Cluster {
    let mut cluster = Cluster::with_running_job(&["m1", "m2"], with_cpus(8, persistent_step(2)));
    for job in 100..140 {
        cluster.submit(job, vec![step(10)]);
    }
    cluster.carry_out_orders();
    assert_eq!(short_run_count(&cluster, "m1") + short_run_count(&cluster, "m2"), 16);
    cluster
}

/// Ends short runs until a task runs, for [`MAX_DOWNTIME_MS`] at most. Returns the time that this
/// took in milliseconds, or `None` if the task does not run.
fn time_until_running(cluster: &mut Cluster, wanted: TaskId) -> Option<u64> {
    for round in 0..MAX_DOWNTIME_MS / SHORT_RUN_INTERVAL_MS {
        if is_running(cluster, wanted) {
            return Some(round * SHORT_RUN_INTERVAL_MS);
        }
        end_one_short_run_each(cluster);
    }
    None
}

/// A minion with a persistent task terminates while more short tasks wait than the remaining minion
/// can run. Each short run that ends frees one processor of the eight that the persistent task
/// needs. If the next short task took it each time, the persistent task would stay down as long as
/// short tasks arrive.
#[test]
fn persistent_task_that_lost_its_run_gets_room_among_short_tasks() {
    let mut cluster = full_cluster();
    let lost = cluster
        .running_tasks()
        .into_iter()
        .find(|(task, minion, _)| !is_short(*task) && &**minion == "m1");
    let (lost, ..) = lost.expect("each minion runs a persistent task");
    cluster.running.remove(&Name::from("m1"));
    cluster.send(
        "m1",
        FromAgent::MinionTerminated { minion: "m1".into(), crashed: false, replaced_by: None },
    );
    assert!(!is_running(&cluster, lost));
    let took_ms = time_until_running(&mut cluster, lost);
    assert!(took_ms.is_some(), "{:?}", cluster.log_lines.last());
    assert!(cluster.log_lines.iter().any(|line| line.starts_with("decision=hold_room")));
}

/// A minion joins while a persistent task is down and more short tasks wait than the minion can
/// run. If short tasks went first, they would fill the minion at once, and the persistent task
/// would stay down.
#[test]
fn persistent_task_that_lost_its_run_goes_first_on_a_new_minion() {
    let mut cluster = full_cluster();
    let lost = cluster
        .running_tasks()
        .into_iter()
        .find(|(task, minion, _)| !is_short(*task) && &**minion == "m1");
    let (lost, ..) = lost.expect("each minion runs a persistent task");
    cluster.running.remove(&Name::from("m1"));
    cluster.send(
        "m1",
        FromAgent::MinionTerminated { minion: "m1".into(), crashed: false, replaced_by: None },
    );
    cluster.advance(INTERRUPTION_MS);
    cluster.join("m3", |info| info);
    cluster.carry_out_orders();
    assert!(is_running(&cluster, lost));
}

/// Room is held on one minion only; the other one keeps running short tasks meanwhile.
#[test]
fn short_tasks_start_elsewhere_while_room_is_held() {
    let mut cluster = full_cluster();
    cluster.join("m3", |info| info);
    cluster.carry_out_orders();
    cluster.running.remove(&Name::from("m1"));
    cluster.send(
        "m1",
        FromAgent::MinionTerminated { minion: "m1".into(), crashed: false, replaced_by: None },
    );
    for _ in 0..4 {
        end_one_short_run_each(&mut cluster);
        let counts = (short_run_count(&cluster, "m2"), short_run_count(&cluster, "m3"));
        assert!(counts.0 == 8 || counts.1 == 16, "{counts:?}");
    }
}

/// A lost persistent task fits on no minion, because other persistent tasks occupy them. Holding
/// room for it would idle processors for nothing.
#[test]
fn no_room_is_held_where_a_task_cannot_fit() {
    let mut cluster = Cluster::with_running_job(&["m1", "m2"], with_cpus(10, persistent_step(2)));
    for job in 100..140 {
        cluster.submit(job, vec![step(10)]);
    }
    cluster.carry_out_orders();
    cluster.running.remove(&Name::from("m1"));
    cluster.send(
        "m1",
        FromAgent::MinionTerminated { minion: "m1".into(), crashed: false, replaced_by: None },
    );
    for _ in 0..20 {
        end_one_short_run_each(&mut cluster);
        assert_eq!(short_run_count(&cluster, "m2"), 6);
    }
}

/// A new persistent job was accepted earlier and still waits when another job loses its run. Users
/// of the latter notice its absence at once, so it goes first when a minion has room for one of
/// them.
#[test]
fn persistent_task_that_ran_goes_before_an_older_new_one() {
    let mut cluster = Cluster::new();
    let small = Demand { milli_cpus: 8_000, memory_mb: 64_000, accelerators: 0 };
    cluster.join("m1", |info| MinionInfo { capacity: small, ..info });
    cluster.submit(5, vec![with_cpus(12, persistent_step(1))]);
    cluster.advance(1_000);
    cluster.submit(6, vec![with_cpus(7, persistent_step(1))]);
    cluster.carry_out_orders();
    assert!(is_running(&cluster, task(6, 0, 0)) && !is_running(&cluster, task(5, 0, 0)));
    cluster.running.remove(&Name::from("m1"));
    cluster.send(
        "m1",
        FromAgent::MinionTerminated { minion: "m1".into(), crashed: false, replaced_by: None },
    );
    cluster.advance(INTERRUPTION_MS);
    cluster.join("m2", |info| info);
    cluster.carry_out_orders();
    assert!(is_running(&cluster, task(6, 0, 0)) && !is_running(&cluster, task(5, 0, 0)));
}
