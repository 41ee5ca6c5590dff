//! Best-effort tasks, which use processor time that serving tasks leave idle.

use geraniumpost_batch::{Demand, JobId, OrderKind, StepSpec};

use crate::cluster::{Cluster, persistent_step, step, task};

fn serving_step() -> StepSpec {
    StepSpec { persistent: true, image: "kiosk".into(), latency_bound_ms: 100, ..step(1) }
}

fn best_effort_step(count: u32) -> StepSpec {
    let demand = Demand { milli_cpus: 4_000, memory_mb: 1_000, accelerators: 0 };
    StepSpec { best_effort: true, image: "logs".into(), demand, checkpoints: true, ..step(count) }
}

/// Best-effort tasks must not keep a serving task above its latency bound, whatever the
/// interference model predicts. All best-effort tasks on the minion of that serving task are paused
/// within two seconds, and no further best-effort task is placed on that minion.
#[test]
fn best_effort_tasks_are_paused_while_a_serving_task_exceeds_its_bound() {
    let mut cluster = Cluster::with_running_job(&["m1"], serving_step());
    // A low tail latency shows that the minion has capacity for both.
    cluster.set_measurement(task(1, 0, 0), 25);
    cluster.poll("m1");
    cluster.submit(2, vec![best_effort_step(2)]);
    cluster.carry_out_orders();
    cluster.set_measurement(task(1, 0, 0), 150);
    for _ in 0..5 {
        cluster.advance(400);
        cluster.heartbeat("m1");
        cluster.poll("m1");
    }
    let last_order_kind = |index| {
        let last_order = cluster.orders.iter().rev().find(|o| o.task == task(2, 0, index));
        last_order.map(|order| order.kind.clone())
    };
    assert_eq!(last_order_kind(0), Some(OrderKind::Pace { percent: 0 }));
    assert_eq!(last_order_kind(1), Some(OrderKind::Pace { percent: 0 }));
    cluster.orders.clear();
    cluster.submit(3, vec![best_effort_step(1)]);
    assert!(cluster.orders.is_empty());
}

/// A best-effort task reserves memory but no processors, so it can be placed on a minion without
/// enough free processors.
#[test]
fn best_effort_tasks_reserve_memory_but_no_processors() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(8));
    let large = StepSpec {
        demand: Demand { milli_cpus: 16_000, memory_mb: 40_000, accelerators: 0 },
        ..best_effort_step(3)
    };
    cluster.submit(2, vec![large]);
    // Half of the processors are in use, so the first task waits for a better minion before it
    // starts here.
    cluster.advance(2_000);
    assert_eq!(cluster.orders.len(), 1);
}

/// A job completes when its slowest task does, so a task on a busy minion would delay the whole
/// job. While other tasks of its job are running, the task waits for a minion on which it can run
/// at full speed.
#[test]
fn best_effort_task_waits_for_a_minion_at_full_speed() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let wide = StepSpec {
        demand: Demand { milli_cpus: 12_000, memory_mb: 1_000, accelerators: 0 },
        ..best_effort_step(2)
    };
    cluster.submit(1, vec![wide]);
    assert_eq!(cluster.orders.len(), 1, "a second task would slow down the first one");
    cluster.carry_out_orders();
    cluster.advance(3_000);
    assert!(cluster.orders.is_empty());
    cluster.join("m2", |info| info);
    assert_eq!(cluster.orders.len(), 1);
    assert_eq!(&*cluster.orders[0].minion, "m2");
}

/// If no minion can run a job's tasks at full speed, although processors are idle, the job would
/// wait forever. Its first task starts anyway after two seconds.
#[test]
fn job_without_running_tasks_starts_at_any_speed_after_two_seconds() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(8));
    let wide = StepSpec {
        demand: Demand { milli_cpus: 16_000, memory_mb: 1_000, accelerators: 0 },
        ..best_effort_step(2)
    };
    cluster.submit(2, vec![wide]);
    cluster.advance(1_500);
    assert!(cluster.orders.is_empty());
    cluster.advance(500);
    assert_eq!(cluster.orders.len(), 1);
    cluster.carry_out_orders();
    cluster.advance(2_000);
    assert!(cluster.orders.is_empty(), "the second task waits for a faster minion");
}

/// A best-effort task that is paused because a serving task on its minion exceeds its latency bound
/// would delay its job for as long as the load lasts. It moves at once to a minion with capacity.
#[test]
fn paused_best_effort_task_moves_at_once() {
    let mut cluster = Cluster::with_running_job(&["m1"], serving_step());
    cluster.submit(2, vec![best_effort_step(1)]);
    cluster.carry_out_orders();
    cluster.join("m2", |info| info);
    cluster.set_measurement(task(1, 0, 0), 150);
    for _ in 0..3 {
        cluster.advance(400);
        cluster.heartbeat("m1");
        cluster.carry_out_orders();
        cluster.poll("m1");
        cluster.carry_out_orders();
    }
    let running = cluster.running_tasks();
    assert!(running.iter().any(|(id, minion, _)| *id == task(2, 0, 0) && &**minion == "m2"));
}

/// Persistent tasks never free their resources. If they could occupy a whole minion, short urgent
/// tasks would wait forever.
#[test]
fn persistent_tasks_leave_capacity_for_short_ones() {
    let mut cluster = Cluster::with_running_job(&["m1"], persistent_step(16));
    assert_eq!(cluster.running_tasks().len(), 15);
    cluster.submit(2, vec![step(1)]);
    assert_eq!(cluster.orders.len(), 1);
}

/// Lets a best-effort task run and idle in turn, and reports a high tail latency of the serving
/// task on the same minion whenever the best-effort task runs.
fn learn_interference_of_logs_image(cluster: &mut Cluster) {
    for round in 0..40 {
        let running = round % 2 == 0;
        cluster.set_measurement(task(2, 0, 0), if running { 4_000 } else { 0 });
        cluster.set_measurement(task(1, 0, 0), if running { 80 } else { 20 });
        cluster.advance(800);
        cluster.heartbeat("m1");
        cluster.poll("m1");
        cluster.orders.clear();
    }
}

/// Returns how many of three best-effort tasks a successor starts at once beside a serving task with
/// which their image interferes.
fn tasks_started_by_successor(keeps_snapshot: bool) -> usize {
    let mut cluster = Cluster::with_running_job(&["m1"], serving_step());
    // A low tail latency shows that the minion has capacity for both.
    cluster.set_measurement(task(1, 0, 0), 25);
    cluster.poll("m1");
    cluster.submit(2, vec![best_effort_step(1)]);
    cluster.carry_out_orders();
    learn_interference_of_logs_image(&mut cluster);
    // Learned interference is part of the next write batch.
    cluster.submit(3, vec![step(1)]);
    assert!(cluster.stored_interference.is_some());
    if !keeps_snapshot {
        cluster.stored_interference = None;
    }
    cluster.take_over();
    cluster.join("m1", |info| info);
    cluster.set_measurement(task(1, 0, 0), 30);
    cluster.poll("m1");
    let demand = Demand { milli_cpus: 1_000, memory_mb: 1_000, accelerators: 0 };
    cluster.submit(4, vec![StepSpec { demand, ..best_effort_step(3) }]);
    cluster.orders.iter().filter(|order| order.task.job == JobId(4)).count()
}

/// A coordinator needs seconds to learn which images interfere with each other, but in a rolling
/// restart each coordinator runs only for seconds. It therefore stores learned interference for its
/// successor; otherwise serving tasks would be slow throughout the restart.
#[test]
fn successor_keeps_learned_interference() {
    let started = tasks_started_by_successor(true);
    assert_eq!(started, 0, "the new tasks would push the tail latency above its bound");
    assert!(tasks_started_by_successor(false) > 0, "nothing but the snapshot prevents the starts");
}

/// Guards against a best-effort task that uses nearly all that serving tasks tolerate at the moment:
/// when the user load rises, it is throttled or moved before it is done. A smaller task leaves
/// enough headroom.
#[test]
fn best_effort_task_leaves_headroom_for_a_rise_of_the_user_load() {
    let mut cluster = Cluster::with_running_job(&["m1"], serving_step());
    cluster.set_measurement(task(1, 0, 0), 25);
    cluster.poll("m1");
    let of_cpus = |cpus: i64| {
        let demand = Demand { milli_cpus: cpus * 1_000, memory_mb: 100, accelerators: 0 };
        StepSpec { demand, ..best_effort_step(1) }
    };
    cluster.submit(2, vec![of_cpus(10)]);
    assert!(cluster.orders.is_empty());
    cluster.submit(3, vec![of_cpus(7)]);
    assert_eq!(cluster.orders.len(), 1);
}

/// Stored data of another version, or damaged data, is rejected as a whole.
#[test]
fn damaged_interference_snapshot_is_rejected() {
    assert!(geraniumpost_batch::InterferenceSnapshot::decode(&[0xff; 7]).is_err());
}
