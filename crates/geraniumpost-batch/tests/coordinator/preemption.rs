//! Stops of runs whose resources are needed by more urgent tasks.

use geraniumpost_batch::shares::StopReason;
use geraniumpost_batch::{Demand, Feature, JobId, OrderKind, QueueTerms, StepSpec, TaskId};
use geraniumpost_schema::Name;

use crate::cluster::{Cluster, persistent_step, step, task, terms};

/// Time from the beginning of a term until runs are stopped, in milliseconds.
const TERM_BEGIN_DELAY_MS: u64 = 1_500;

fn terms_with_priority(priority: u32) -> QueueTerms {
    QueueTerms { queue: format!("priority-{priority}").into(), priority, ..terms() }
}

/// Returns a step of tasks that take 10 s, of which 16 fill the processors of a minion.
fn long_step(count: u32) -> StepSpec {
    StepSpec { estimate_ms: 10_000, checkpoints: true, ..step(count) }
}

fn best_effort_step(count: u32) -> StepSpec {
    let demand = Demand { milli_cpus: 1_000, memory_mb: 12_000, accelerators: 0 };
    StepSpec { best_effort: true, image: "logs".into(), demand, ..long_step(count) }
}

/// Returns a cluster whose minions run as many tasks of `step` as they have capacity for, with
/// priority 2.
fn cluster_with_runs(minions: &[&str], step: StepSpec) -> Cluster {
    let mut cluster = Cluster::new().with_features(&[Feature::Shares]).with_minions(minions);
    cluster.default_percent = 20;
    cluster.submit_with_terms(1, vec![step], terms_with_priority(2));
    cluster.carry_out_orders();
    cluster.advance(TERM_BEGIN_DELAY_MS);
    poll_all(&mut cluster, minions);
    cluster
}

/// Polls minions whose tasks have made some progress, so that no run counts as stalled.
fn poll_all(cluster: &mut Cluster, minions: &[&str]) {
    cluster.default_percent += u8::from(cluster.default_percent < 60);
    for minion in minions {
        cluster.poll(minion);
    }
}

fn stopped_tasks(cluster: &Cluster) -> Vec<TaskId> {
    let stops = cluster.orders.iter().filter(|order| order.kind == OrderKind::Stop);
    stops.map(|order| order.task).collect()
}

fn running_tasks_of(cluster: &Cluster, job: u64) -> usize {
    cluster.running_tasks().iter().filter(|(task, ..)| task.job == JobId(job)).count()
}

/// Carries out all stops, and the starts that follow.
fn settle(cluster: &mut Cluster, minions: &[&str]) {
    cluster.carry_out_orders();
    poll_all(cluster, minions);
    cluster.carry_out_orders();
}

/// A burst of urgent tasks finds all processors reserved by tasks of a queue with lower priority.
#[test]
fn urgent_tasks_take_processors_of_a_queue_with_lower_priority() {
    let mut cluster = cluster_with_runs(&["m1"], long_step(16));
    cluster.submit_with_terms(2, vec![step(2)], terms_with_priority(0));
    assert_eq!(stopped_tasks(&cluster).len(), 2);
    settle(&mut cluster, &["m1"]);
    assert_eq!(running_tasks_of(&cluster, 2), 2);
    assert_eq!(running_tasks_of(&cluster, 1), 14);
    assert_eq!(cluster.coordinator.preemption_counts().get(StopReason::LowerPriority), 2);
    assert!(cluster.log_lines.iter().any(|line| line.starts_with("decision=preempt job=")));
}

/// Nobody has the feature switched on, or the waiting job is as urgent as what runs.
#[test]
fn nothing_is_stopped_without_the_feature_or_a_higher_priority() {
    let mut cluster = cluster_with_runs(&["m1"], long_step(16));
    cluster.submit_with_terms(2, vec![step(2)], terms_with_priority(2));
    assert_eq!(stopped_tasks(&cluster), []);

    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit_with_terms(1, vec![long_step(16)], terms_with_priority(2));
    cluster.carry_out_orders();
    cluster.advance(TERM_BEGIN_DELAY_MS);
    cluster.submit_with_terms(2, vec![step(2)], terms_with_priority(0));
    assert_eq!(stopped_tasks(&cluster), []);
}

/// Suspended best-effort tasks reserve the memory that urgent tasks need. Of two images, only the
/// suspended one gives way.
#[test]
fn urgent_burst_takes_memory_of_best_effort_tasks_that_stand_still() {
    let serving = StepSpec { image: "kiosk".into(), latency_bound_ms: 100, ..persistent_step(1) };
    let mut cluster = Cluster::new().with_features(&[Feature::Shares]).with_minions(&["m1"]);
    cluster.default_percent = 20;
    cluster.submit_with_terms(9, vec![serving], terms_with_priority(0));
    cluster.carry_out_orders();
    cluster.submit_with_terms(1, vec![best_effort_step(4)], terms_with_priority(1));
    cluster.carry_out_orders();
    cluster.task_percent.insert(task(9, 0, 0), 100);
    let minion = Name::from("m1");
    for run in cluster.running[&minion].keys().copied().collect::<Vec<_>>() {
        cluster.set_measurement(run, if run.job == JobId(9) { 30 } else { 1_000 });
    }
    poll_all(&mut cluster, &["m1"]);
    cluster.set_measurement(task(9, 0, 0), 400);
    for _ in 0..10 {
        cluster.advance(400);
        poll_all(&mut cluster, &["m1"]);
        cluster.carry_out_orders();
    }
    let are_suspended = |cluster: &Cluster| cluster.paces.values().all(|pace| *pace == 0);
    assert!(are_suspended(&cluster), "{:?}", cluster.paces);
    assert_eq!(cluster.paces.len(), 4);
    let demand = Demand { milli_cpus: 1_000, memory_mb: 30_000, accelerators: 0 };
    // The same priority suffices, because the suspended tasks do nothing.
    cluster.submit_with_terms(2, vec![StepSpec { demand, ..step(1) }], terms_with_priority(1));
    settle(&mut cluster, &["m1"]);
    assert_eq!(running_tasks_of(&cluster, 2), 1, "{:?}", cluster.log_lines);
    assert!(cluster.coordinator.preemption_counts().get(StopReason::StandsStill) > 0);
    assert_eq!(running_tasks_of(&cluster, 9), 1);
}

/// The job that runs is so late that its result has no value. It gives way although its queue has
/// a higher priority.
#[test]
fn work_without_value_gives_way_to_work_in_time() {
    let mut cluster = Cluster::new().with_features(&[Feature::Shares]).with_minions(&["m1"]);
    cluster.default_percent = 20;
    cluster.submit_with_terms(1, vec![step(16)], terms_with_priority(0));
    cluster.carry_out_orders();
    for _ in 0..10 {
        cluster.advance(800);
        cluster.default_percent += 1;
        cluster.poll("m1");
    }
    cluster.submit_with_terms(2, vec![step(1)], terms_with_priority(1));
    settle(&mut cluster, &["m1"]);
    assert_eq!(running_tasks_of(&cluster, 2), 1);
    assert_eq!(cluster.coordinator.preemption_counts().get(StopReason::PastValue), 1);
}

/// Persistent tasks and gangs do not give way: users would notice the former, and the others of a
/// gang would be stopped as well.
#[test]
fn persistent_tasks_and_gangs_keep_their_resources() {
    for protected in [persistent_step(15), StepSpec { gang: true, ..long_step(16) }] {
        let mut cluster = cluster_with_runs(&["m1"], protected);
        cluster.submit_with_terms(2, vec![step(2)], terms_with_priority(0));
        assert_eq!(stopped_tasks(&cluster), []);
    }
}

/// Runs on the minion end about as soon as a stop would take.
#[test]
fn nothing_is_stopped_for_a_task_that_would_start_anyway() {
    let mut cluster = cluster_with_runs(&["m1"], StepSpec { estimate_ms: 2_000, ..step(16) });
    cluster.default_percent = 95;
    poll_all(&mut cluster, &["m1"]);
    cluster.submit_with_terms(2, vec![step(2)], terms_with_priority(0));
    assert_eq!(stopped_tasks(&cluster), []);
}

/// More urgent tasks come than runs may be stopped within a second.
#[test]
fn preemption_stops_at_its_budget() {
    let minions = ["m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9", "m10", "m11", "m12"];
    let mut cluster = cluster_with_runs(&minions, long_step(16 * 12));
    cluster.submit_with_terms(2, vec![long_step(40)], terms_with_priority(0));
    cluster.advance(100);
    // A quarter of the minions within a second.
    assert_eq!(stopped_tasks(&cluster).len(), 3);
    cluster.advance(1_000);
    let stopped = stopped_tasks(&cluster);
    assert!((5..=7).contains(&stopped.len()), "{stopped:?}");
}

/// Urgent jobs follow each other, and the same task would be stopped again and again. Without a
/// limit, it would never end.
#[test]
fn task_is_stopped_at_most_twice() {
    let mut cluster = cluster_with_runs(&["m1"], StepSpec { max_per_minion: 1, ..long_step(1) });
    cluster.submit_with_terms(3, vec![persistent_step(15)], terms_with_priority(0));
    cluster.carry_out_orders();
    for urgent in 10..16 {
        cluster.submit_with_terms(urgent, vec![step(1)], terms_with_priority(0));
        settle(&mut cluster, &["m1"]);
        if running_tasks_of(&cluster, urgent) == 1 {
            cluster.end_run(&"m1".into(), task(urgent, 0, 0), geraniumpost_batch::EndKind::Done);
        }
        cluster.advance(1_500);
        settle(&mut cluster, &["m1"]);
    }
    assert_eq!(cluster.coordinator.preemption_counts().get(StopReason::LowerPriority), 2);
    assert_eq!(running_tasks_of(&cluster, 1), 1);
}

/// A stopped task continues from its checkpoint once there is capacity again.
#[test]
fn stopped_tasks_continue_when_the_urgent_ones_are_done() {
    let mut cluster = cluster_with_runs(&["m1"], long_step(16));
    cluster.submit_with_terms(2, vec![step(2)], terms_with_priority(0));
    settle(&mut cluster, &["m1"]);
    for index in 0..2 {
        cluster.end_run(&"m1".into(), task(2, 0, index), geraniumpost_batch::EndKind::Done);
    }
    cluster.advance(1_500);
    settle(&mut cluster, &["m1"]);
    assert_eq!(running_tasks_of(&cluster, 1), 16);
}

/// The coordinator is lost after it has sent stops, and before it places the urgent tasks. A
/// successor that stopped further runs for the same tasks would lose work needlessly.
#[test]
fn successor_stops_no_further_runs() {
    let mut cluster = cluster_with_runs(&["m1", "m2"], long_step(32));
    cluster.submit_with_terms(2, vec![step(2)], terms_with_priority(0));
    for stop in std::mem::take(&mut cluster.orders) {
        let minion = stop.minion.clone();
        cluster.end_run(&minion, stop.task, geraniumpost_batch::EndKind::Stopped);
    }
    cluster.take_over();
    // The minion on which nothing was stopped is polled first.
    let untouched: Name =
        if cluster.running[&Name::from("m1")].len() == 16 { "m1" } else { "m2" }.into();
    for minion in [untouched.as_str(), "m1", "m2"] {
        cluster.join(minion, |info| info);
        cluster.advance(300);
    }
    settle(&mut cluster, &["m1", "m2"]);
    cluster.advance(3_000);
    assert_eq!(running_tasks_of(&cluster, 2), 2);
    assert_eq!(running_tasks_of(&cluster, 1), 30);
    assert_eq!(stopped_tasks(&cluster), []);
}

/// A minion does not carry out a stop, although its agent responds. Resources of another minion are
/// used after a while, and the task is not started twice.
#[test]
fn stop_without_response_does_not_hold_up_the_urgent_task() {
    let mut cluster = cluster_with_runs(&["m1", "m2"], long_step(32));
    cluster.submit_with_terms(2, vec![long_step(1)], terms_with_priority(0));
    let first = cluster.orders.remove(0);
    assert_eq!(first.kind, OrderKind::Stop);
    let other = if first.minion == Name::from("m1") { "m2" } else { "m1" };
    for _ in 0..40 {
        cluster.advance(100);
        cluster.orders.retain(|order| order.minion != first.minion);
        settle(&mut cluster, &[other]);
    }
    assert_eq!(running_tasks_of(&cluster, 2), 1);
    assert!(cluster.running_tasks().iter().any(|(t, at, _)| t.job == JobId(2) && &**at == other));
}

/// The minion on which runs were stopped is lost before their ends are reported. The urgent task
/// does not wait for it.
#[test]
fn lost_minion_does_not_hold_up_the_urgent_task() {
    let mut cluster = cluster_with_runs(&["m1", "m2"], long_step(32));
    cluster.submit_with_terms(2, vec![step(1)], terms_with_priority(0));
    let first = cluster.orders.remove(0);
    cluster.disconnect_agent(first.minion.as_str());
    let other = if first.minion == Name::from("m1") { "m2" } else { "m1" };
    for _ in 0..5 {
        cluster.advance(100);
        settle(&mut cluster, &[other]);
    }
    assert_eq!(running_tasks_of(&cluster, 2), 1);
}

/// The store stops to commit after runs were stopped. No further runs are stopped for the tasks
/// that could not be started anyway, and the placement is made up for once the store is back.
#[test]
fn nothing_is_stopped_while_the_store_commits_nothing() {
    let mut cluster = cluster_with_runs(&["m1"], long_step(16));
    cluster.submit_with_terms(2, vec![step(2)], terms_with_priority(0));
    cluster.confirm_writes = false;
    cluster.store_confirms = false;
    settle(&mut cluster, &["m1"]);
    assert_eq!(running_tasks_of(&cluster, 2), 0, "the placement is not committed");
    cluster.advance(1_000);
    cluster.submit_with_terms(3, vec![step(2)], terms_with_priority(0));
    cluster.advance(1_000);
    assert_eq!(stopped_tasks(&cluster), []);
    cluster.store_confirms = true;
    cluster.confirm_pending_writes();
    settle(&mut cluster, &["m1"]);
    assert_eq!(running_tasks_of(&cluster, 2), 2);
    assert_eq!(running_tasks_of(&cluster, 1), 14);
}
