//! The budget of disturbance for each serving step, over all its minions.

use geraniumpost_batch::{
    Demand, EndKind, Feature, JobId, OrderKind, OrderKindTag, OrderOutcome, StepSpec,
};

use crate::cluster::{Cluster, step, task};

const MINIONS: [&str; 3] = ["m1", "m2", "m3"];
/// Interval between two polls, in milliseconds.
const POLL_INTERVAL_MS: u64 = 400;
/// Processors of a best-effort task that may use up the headroom of a serving task.
const LARGE_CPUS: i64 = 7;
/// Processors of a best-effort task that uses a small part of that headroom.
const SMALL_CPUS: i64 = 2;

/// Returns a serving step with a task on each minion and a bound of 100 ms.
fn serving_step() -> StepSpec {
    StepSpec {
        persistent: true,
        image: "kiosk".into(),
        latency_bound_ms: 100,
        max_per_minion: 1,
        ..step(MINIONS.len() as u32)
    }
}

fn best_effort_step(count: u32, cpus: i64) -> StepSpec {
    let demand = Demand { milli_cpus: cpus * 1_000, memory_mb: 1_000, accelerators: 0 };
    StepSpec { best_effort: true, image: "logs".into(), demand, ..step(count) }
}

fn poll_all(cluster: &mut Cluster) {
    cluster.advance(POLL_INTERVAL_MS);
    for minion in MINIONS {
        cluster.poll(minion);
    }
}

fn set_tail_latencies(cluster: &mut Cluster, tail_latency_ms: u32) {
    (0..MINIONS.len() as u32)
        .for_each(|index| cluster.set_measurement(task(1, 0, index), tail_latency_ms));
}

/// Returns a cluster whose minions run a serving task each, with a low user load that is known from
/// some polls.
fn serving_cluster(with_budget: bool) -> Cluster {
    let cluster = Cluster::new();
    let cluster =
        if with_budget { cluster.with_features(&[Feature::DisturbanceBudget]) } else { cluster };
    let mut cluster = cluster.with_minions(&MINIONS);
    cluster.submit(1, vec![serving_step()]);
    cluster.carry_out_orders();
    set_tail_latencies(&mut cluster, 25);
    (0..6).for_each(|_| poll_all(&mut cluster));
    cluster.orders.clear();
    cluster
}

/// Returns the paces that the waiting start orders of a job carry.
fn first_paces(cluster: &Cluster, job: u64) -> Vec<Option<u8>> {
    let of_start = |order: &geraniumpost_batch::Order| match order.kind {
        OrderKind::Start { pace_percent, .. } if order.task.job == JobId(job) => Some(pace_percent),
        _ => None,
    };
    cluster.orders.iter().filter_map(of_start).collect()
}

/// Reports that the best-effort tasks use this share of their processors, in percent.
fn set_use(cluster: &mut Cluster, job: u64, count: u32, cpus: i64, percent: u32) {
    (0..count).for_each(|index| {
        cluster.set_measurement(task(job, 0, index), cpus as u32 * 10 * percent);
    });
}

/// A job of many tasks arrives whose image was never seen beside the serving job. It begins on one
/// minion, below full speed; without the budget it begins on all minions at full speed.
#[test]
fn burst_of_an_unknown_image_disturbs_one_task_of_a_serving_job() {
    let mut without = serving_cluster(false);
    without.submit(2, vec![best_effort_step(3, LARGE_CPUS)]);
    assert_eq!(first_paces(&without, 2), [None; 3]);
    let mut cluster = serving_cluster(true);
    cluster.submit(2, vec![best_effort_step(3, LARGE_CPUS)]);
    assert_eq!(first_paces(&cluster, 2), [Some(50)]);
    let trials = cluster.log_lines.iter().filter(|line| line.starts_with("decision=trial"));
    assert_eq!(trials.count(), 1);
    assert_eq!(cluster.coordinator.disturbance_status().trials, 1);
}

/// The other minions of a serving job take an unknown image once the trial has shown that it does
/// no harm, which takes a few polls.
#[test]
fn second_minion_of_the_same_job_waits_for_the_trial() {
    let mut cluster = serving_cluster(true);
    cluster.submit(2, vec![best_effort_step(3, LARGE_CPUS)]);
    cluster.carry_out_orders();
    assert_eq!(cluster.paces.values().copied().collect::<Vec<_>>(), [50]);
    cluster.advance(300);
    assert!(first_paces(&cluster, 2).is_empty());
    set_use(&mut cluster, 2, 3, LARGE_CPUS, 50);
    poll_all(&mut cluster);
    cluster.carry_out_orders();
    set_use(&mut cluster, 2, 3, LARGE_CPUS, 100);
    (0..4).for_each(|_| {
        poll_all(&mut cluster);
        cluster.carry_out_orders();
    });
    let running = cluster.running_tasks().iter().filter(|(t, ..)| t.job == JobId(2)).count();
    assert_eq!(running, 3);
}

/// An image that ran beside a serving image without any effect starts at full speed at once, on all
/// minions.
#[test]
fn image_known_to_be_harmless_starts_at_full_speed() {
    let mut cluster = serving_cluster(true);
    cluster.submit(2, vec![best_effort_step(1, LARGE_CPUS)]);
    cluster.carry_out_orders();
    for round in 0..20 {
        set_use(&mut cluster, 2, 1, LARGE_CPUS, if round % 2 == 0 { 100 } else { 0 });
        poll_all(&mut cluster);
    }
    let (_, minion, _) =
        cluster.running_tasks().into_iter().find(|(t, ..)| t.job == JobId(2)).expect("it runs");
    cluster.end_run(&minion, task(2, 0, 0), EndKind::Done);
    cluster.poll(&minion);
    cluster.orders.clear();
    cluster.submit(3, vec![best_effort_step(3, LARGE_CPUS)]);
    assert_eq!(first_paces(&cluster, 3), [None; 3]);
}

/// Runs a small best-effort task on each minion, then brings the serving tasks of two minions over
/// their bound, one after the other. Returns the number of paces below full speed after each.
fn paces_after_excess(cluster: &mut Cluster) -> (usize, usize) {
    cluster.submit(2, vec![best_effort_step(3, SMALL_CPUS)]);
    cluster.carry_out_orders();
    set_use(cluster, 2, 3, SMALL_CPUS, 100);
    poll_all(cluster);
    cluster.carry_out_orders();
    set_tail_latencies(cluster, 101);
    cluster.advance(POLL_INTERVAL_MS);
    cluster.poll("m1");
    let slowed = |cluster: &Cluster| {
        let is_slower = |order: &&geraniumpost_batch::Order| matches!(order.kind, OrderKind::Pace { percent } if percent < 100);
        cluster.orders.iter().filter(is_slower).count()
    };
    let first = slowed(cluster);
    cluster.poll("m2");
    (first, slowed(cluster))
}

/// One disturbed task of a small job is within its budget and is treated by the ordinary pacing. As
/// soon as a second task is over its bound, both minions are relieved, although the first is not
/// polled again.
#[test]
fn job_over_its_budget_is_relieved_on_all_its_minions() {
    assert_eq!(paces_after_excess(&mut serving_cluster(false)), (0, 0));
    let mut cluster = serving_cluster(true);
    assert_eq!(paces_after_excess(&mut cluster), (0, 2));
    let began =
        |line: &&String| line.starts_with("event=disturbance") && line.ends_with("over=true");
    assert_eq!(cluster.log_lines.iter().filter(began).count(), 1);
    assert_eq!(cluster.coordinator.disturbance_status().steps_over_budget, 1);
}

/// After a relief an image gains speed with each poll that shows no disturbance, by at most a factor
/// of two. It must not go from suspension to full speed and back within a second.
#[test]
fn pace_returns_in_steps() {
    let mut cluster = serving_cluster(true);
    paces_after_excess(&mut cluster);
    cluster.orders.sort_by_key(|order| order.task);
    let relieved = cluster.orders[0].task;
    cluster.carry_out_orders();
    let mut paces = vec![cluster.paces[&relieved]];
    set_tail_latencies(&mut cluster, 25);
    for _ in 0..4 {
        poll_all(&mut cluster);
        cluster.carry_out_orders();
        paces.push(cluster.paces[&relieved]);
    }
    assert_eq!(paces, [25, 50, 100, 100, 100]);
}

/// Counts of a minion that is no longer polled would keep a job over its budget, and best-effort
/// work away from all its minions, until the minion returns.
#[test]
fn disturbance_on_an_unreachable_minion_is_forgotten() {
    let mut cluster = serving_cluster(true);
    paces_after_excess(&mut cluster);
    assert_eq!(cluster.coordinator.disturbance_status().steps_over_budget, 1);
    cluster.advance(2_100);
    assert_eq!(cluster.coordinator.disturbance_status().steps_over_budget, 0);
}

/// The minion does not respond to the pace call that follows the start. The run would go on at full
/// speed for as long as it lasts; the coordinator repeats the pace with the next poll.
#[test]
fn pace_that_failed_after_the_start_is_repeated() {
    let mut cluster = serving_cluster(true);
    cluster.submit(2, vec![best_effort_step(1, LARGE_CPUS)]);
    let start = cluster.orders[0].clone();
    cluster.carry_out_orders();
    cluster.report_result(&start, OrderKindTag::Pace, OrderOutcome::NoResponse);
    assert!(cluster.orders.is_empty());
    cluster.poll(&start.minion.clone());
    let kinds: Vec<_> = cluster.orders.iter().map(|order| order.kind.clone()).collect();
    assert_eq!(kinds, [OrderKind::Pace { percent: 50 }]);
}

/// An agent of an earlier version ignores the pace in a start order. The trial would run at full
/// speed; the coordinator sends the pace again once the start is reported.
#[test]
fn older_agent_that_ignores_the_first_pace_gets_it_after_the_start() {
    let mut cluster = serving_cluster(true);
    cluster.agents_know_first_pace = false;
    cluster.submit(2, vec![best_effort_step(1, LARGE_CPUS)]);
    cluster.carry_out_orders();
    assert_eq!(cluster.paces.get(&task(2, 0, 0)), Some(&50));
}

/// The coordinator is lost while a trial is in progress. Its successor knows of no trial; the tasks
/// that waited for the end of the trial must not wait forever.
#[test]
fn waiting_tasks_start_after_a_takeover_during_a_trial() {
    let mut cluster = serving_cluster(true);
    cluster.submit(2, vec![best_effort_step(3, LARGE_CPUS)]);
    cluster.carry_out_orders();
    cluster.take_over();
    for minion in MINIONS {
        cluster.join(minion, |info| info);
    }
    set_use(&mut cluster, 2, 3, LARGE_CPUS, 100);
    for _ in 0..10 {
        poll_all(&mut cluster);
        cluster.carry_out_orders();
    }
    let running = cluster.running_tasks().iter().filter(|(t, ..)| t.job == JobId(2)).count();
    assert_eq!(running, 3);
}
