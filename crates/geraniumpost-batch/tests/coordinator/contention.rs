//! Order of jobs and choice of minions when serving and best-effort tasks share few minions.

use geraniumpost_batch::{
    Demand, EndKind, InterferencePair, InterferenceSnapshot, JobId, StepSpec,
};
use geraniumpost_schema::Name;

use crate::cluster::{Cluster, persistent_step, step, task};

fn serving_step(image: &str, count: u32) -> StepSpec {
    StepSpec { image: image.into(), latency_bound_ms: 100, ..persistent_step(count) }
}

fn best_effort_step(image: &str, count: u32) -> StepSpec {
    let demand = Demand { milli_cpus: 4_000, memory_mb: 1_000, accelerators: 0 };
    StepSpec { best_effort: true, image: image.into(), demand, checkpoints: true, ..step(count) }
}

/// Returns a cluster whose coordinator has learned the given interference. Each element names a
/// serving image, a best-effort image and the slope, which is the utilization that the best-effort
/// image adds to the serving image.
fn cluster_with_interference(slopes: &[(&str, &str, f64)]) -> Cluster {
    let pair = |(serving, best_effort, slope): &(&str, &str, f64)| InterferencePair {
        serving: Name::from(*serving),
        best_effort: Name::from(*best_effort),
        slope: *slope,
        deviation: 0.05,
    };
    let pairs = slopes.iter().map(pair).collect();
    let mut cluster = Cluster::new();
    cluster.stored_interference =
        Some(InterferenceSnapshot { pairs, idle_tail_latency_ratios: Vec::new() }.encode());
    cluster.take_over();
    cluster
}

/// One of three serving tasks briefly has a tail latency several times as high as the others have,
/// for a reason other than interference. If the highest tail latency counted, best-effort tasks
/// would be slowed down and moved needlessly.
#[test]
fn single_high_tail_latency_slows_no_best_effort_task() {
    let mut cluster = Cluster::with_running_job(&["m1"], serving_step("kiosk", 3));
    let report_tail_latencies = |cluster: &mut Cluster, latencies_ms: [u32; 3]| {
        for (index, latency_ms) in latencies_ms.into_iter().enumerate() {
            cluster.set_measurement(task(1, 0, index as u32), latency_ms);
        }
        cluster.advance(400);
        cluster.heartbeat("m1");
        cluster.poll("m1");
    };
    report_tail_latencies(&mut cluster, [30, 30, 30]);
    cluster.submit(2, vec![best_effort_step("logs", 1)]);
    cluster.carry_out_orders();
    cluster.set_measurement(task(2, 0, 0), 4_000);
    for _ in 0..5 {
        report_tail_latencies(&mut cluster, [30, 30, 30]);
    }
    cluster.orders.clear();
    report_tail_latencies(&mut cluster, [30, 98, 30]);
    report_tail_latencies(&mut cluster, [30, 30, 30]);
    assert!(cluster.orders.is_empty(), "{:?}", cluster.orders);
}

/// Tasks of two best-effort images run at full speed on m1, but on m2 only `logs` tasks do. If a
/// `logs` task took m1, the job of the `study` image would find no minion and wait.
#[test]
fn minion_is_left_to_tasks_that_fit_nowhere_else() {
    let mut cluster = cluster_with_interference(&[
        ("kiosk", "logs", 0.0),
        ("gate", "logs", 0.7),
        ("kiosk", "study", 3.0),
        ("gate", "study", 0.7),
    ]);
    cluster.join("m1", |info| info);
    cluster.submit(1, vec![serving_step("gate", 1)]);
    cluster.carry_out_orders();
    cluster.join("m2", |mut info| {
        info.labels.push("b".into());
        info
    });
    cluster.submit(2, vec![StepSpec { required_label: "b".into(), ..serving_step("kiosk", 1) }]);
    cluster.carry_out_orders();
    for (job, minion) in [(1, "m1"), (2, "m2")] {
        assert!(
            cluster
                .running_tasks()
                .iter()
                .any(|(id, at, _)| id.job == JobId(job) && &**at == minion)
        );
        cluster.set_measurement(task(job, 0, 0), 40);
        cluster.poll(minion);
    }
    cluster.submit(3, vec![best_effort_step("logs", 1)]);
    cluster.submit(4, vec![best_effort_step("study", 1)]);
    let minion_of_job = |job| {
        let order = cluster.orders.iter().find(|order| order.task.job == JobId(job));
        order.map(|order| order.minion.to_string())
    };
    assert_eq!(minion_of_job(3).as_deref(), Some("m2"));
    assert_eq!(minion_of_job(4).as_deref(), Some("m1"));
}

/// More work is submitted than the minions have capacity for. If jobs were ordered by deadline, all
/// would be slightly late; with the least remaining work first, most complete in time.
#[test]
fn least_remaining_work_goes_first() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(16));
    cluster.submit(2, vec![step(8)]);
    cluster.submit(3, vec![step(2)]);
    for index in 0..2 {
        cluster.end_run(&"m1".into(), task(1, 0, index), EndKind::Done);
    }
    cluster.poll("m1");
    let started: Vec<JobId> = cluster.orders.iter().map(|order| order.task.job).collect();
    assert_eq!(started, [JobId(3), JobId(3)]);
}

/// A persistent job never frees its resources, and a short delay harms it little. Capacity that
/// becomes free therefore goes to short jobs of the same priority first.
#[test]
fn short_jobs_go_before_persistent_ones() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(16));
    cluster.submit(2, vec![persistent_step(1)]);
    cluster.submit(3, vec![step(2)]);
    for index in 0..2 {
        cluster.end_run(&"m1".into(), task(1, 0, index), EndKind::Done);
    }
    cluster.poll("m1");
    let started: Vec<JobId> = cluster.orders.iter().map(|order| order.task.job).collect();
    assert_eq!(started, [JobId(3), JobId(3)]);
}
