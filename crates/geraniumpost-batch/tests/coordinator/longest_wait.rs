//! The longest wait of a task for a minion, as reported in the metrics.

use geraniumpost_batch::{
    CallerRequest, EndKind, FromAgent, JobId, LongestWait, MinionInfo, OrderKindTag, OrderOutcome,
    StepSpec, lease_expiry_bound_ms,
};

use crate::cluster::{Cluster, LEASE_MS, minion_info, persistent_step, step, task};

/// Maximum delay until the start or the end of a wait is detected, in milliseconds.
const MAX_DETECTION_DELAY_MS: u64 = 500;

fn longest_wait(cluster: &Cluster) -> LongestWait {
    cluster.coordinator.longest_wait(cluster.now)
}

/// Checks that the reported wait is `since_ms`, or less by at most the detection delay.
#[track_caller]
fn assert_wait(wait_ms: u64, since_ms: u64) {
    assert!(
        (since_ms - MAX_DETECTION_DELAY_MS..=since_ms).contains(&wait_ms),
        "{wait_ms} after {since_ms}"
    );
}

/// Returns a cluster in which a persistent task has been running on m1 for some seconds.
fn cluster_with_running_task() -> Cluster {
    let mut cluster = Cluster::with_running_job(&["m1"], persistent_step(1));
    cluster.poll("m1");
    for _ in 0..3 {
        cluster.advance(2_000);
        cluster.heartbeat("m1");
    }
    assert_eq!(longest_wait(&cluster), LongestWait::default());
    cluster
}

/// Joins `minion`, lets the waiting task start there, and checks that the wait has ended.
fn assert_wait_ends_on(mut cluster: Cluster, minion: &str) {
    cluster.join(minion, |info| info);
    cluster.advance(200);
    cluster.carry_out_orders();
    cluster.poll(minion);
    cluster.advance(MAX_DETECTION_DELAY_MS);
    assert_eq!(longest_wait(&cluster), LongestWait::default());
}

/// Links the agent of m1 again, and checks that the wait has ended, because the task there has been
/// running throughout.
#[track_caller]
fn assert_wait_ends_when_agent_returns(mut cluster: Cluster) {
    cluster.join("m1", |info| info);
    cluster.advance(MAX_DETECTION_DELAY_MS);
    assert_eq!(longest_wait(&cluster), LongestWait::default());
}

#[test]
fn empty_cluster_has_no_wait() {
    assert_eq!(longest_wait(&Cluster::new()), LongestWait::default());
}

/// A persistent task ends and cannot be placed. Its wait counts from the exact end of its run until
/// it runs again.
#[test]
fn wait_counts_from_the_end_of_a_run() {
    let mut cluster = cluster_with_running_task();
    cluster.join("m1", |info| MinionInfo { draining: true, sequence: 2, ..info });
    cluster.end_run(&"m1".into(), task(1, 0, 0), EndKind::Failed);
    cluster.poll("m1");
    for passed_ms in (1_000..=6_000).step_by(1_000) {
        cluster.advance(1_000);
        assert_eq!(longest_wait(&cluster), LongestWait { persistent_ms: passed_ms, other_ms: 0 });
    }
    assert_wait_ends_on(cluster, "m2");
}

/// A persistent task may be down once its agent is disconnected. The wait counts from the
/// disconnection, and continues after the expiry of the lease until the task runs elsewhere.
#[test]
fn wait_lasts_from_a_disconnection_until_a_new_run() {
    let mut cluster = cluster_with_running_task();
    cluster.disconnect_agent("m1");
    cluster.advance(3_000);
    assert_wait(longest_wait(&cluster).persistent_ms, 3_000);
    cluster.advance(lease_expiry_bound_ms(LEASE_MS));
    assert!(cluster.log_lines.iter().any(|line| line.contains("event=lease_expired")));
    assert_wait(longest_wait(&cluster).persistent_ms, 3_000 + lease_expiry_bound_ms(LEASE_MS));
    assert_wait_ends_on(cluster, "m2");
}

/// The wait ends when the agent links again and its minion still runs the task.
#[test]
fn wait_ends_when_the_agent_returns() {
    let mut cluster = cluster_with_running_task();
    cluster.disconnect_agent("m1");
    cluster.advance(2_000);
    assert_wait(longest_wait(&cluster).persistent_ms, 2_000);
    assert_wait_ends_when_agent_returns(cluster);
}

/// The persistent task of a minion that does not respond to its agent may be down.
#[test]
fn tasks_of_an_unresponsive_minion_wait() {
    let mut cluster = cluster_with_running_task();
    cluster.heartbeat_with_unresponsive_minion("m1");
    cluster.advance(1_500);
    assert_wait(longest_wait(&cluster).persistent_ms, 1_500);
}

/// A successor does not know whether a task is running until the task's agent has linked. The
/// task's wait counts from the takeover.
#[test]
fn wait_counts_from_the_takeover() {
    let mut cluster = cluster_with_running_task();
    cluster.take_over();
    cluster.advance(2_000);
    assert_wait(longest_wait(&cluster).persistent_ms, 2_000);
    assert_wait_ends_when_agent_returns(cluster);
}

/// A minion refuses every start. The task is placed repeatedly, but is down throughout.
#[test]
fn refused_starts_do_not_end_the_wait() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![persistent_step(1)]);
    for _ in 0..40 {
        while let Some(order) = cluster.orders.pop() {
            cluster.report_result(&order, OrderKindTag::Start, OrderOutcome::NoCapacity);
        }
        cluster.advance(100);
    }
    assert_wait(longest_wait(&cluster).persistent_ms, 4_000);
}

/// A placed task waits until the store confirms the placement, because the start order is not sent
/// before.
#[test]
fn wait_lasts_while_a_placement_is_written() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.confirm_writes = false;
    cluster.submit(1, vec![persistent_step(1)]);
    cluster.advance(3_000);
    assert_wait(longest_wait(&cluster).persistent_ms, 3_000);
    cluster.confirm_pending_writes();
    cluster.carry_out_orders();
    cluster.poll("m1");
    cluster.advance(MAX_DETECTION_DELAY_MS);
    assert_eq!(longest_wait(&cluster), LongestWait::default());
}

/// A run that starts and fails between two polls ends the wait that preceded it.
#[test]
fn short_run_ends_the_wait() {
    let mut cluster = Cluster::new();
    cluster.submit(1, vec![persistent_step(1)]);
    cluster.advance(5_200);
    cluster.join("m1", |info| info);
    cluster.carry_out_orders();
    cluster.poll("m1");
    cluster.advance(100);
    cluster.end_run(&"m1".into(), task(1, 0, 0), EndKind::Failed);
    cluster.poll("m1");
    assert_eq!(longest_wait(&cluster).persistent_ms, 0);
}

/// Tasks of a minion's old incarnation are down from the time at which its agent reports a new
/// incarnation.
#[test]
fn wait_counts_from_the_report_of_a_new_incarnation() {
    let mut cluster = cluster_with_running_task();
    cluster.send("m1", FromAgent::Minion(MinionInfo { draining: true, ..minion_info("m1-b") }));
    cluster.advance(700);
    assert_eq!(longest_wait(&cluster).persistent_ms, 700);
}

/// The longest wait among all open jobs is reported; a cancelled job no longer counts.
#[test]
fn longest_wait_of_open_jobs_counts() {
    let mut cluster = Cluster::new();
    cluster.submit(1, vec![persistent_step(1)]);
    cluster.advance(3_000);
    cluster.submit(2, vec![persistent_step(1)]);
    cluster.advance(3_000);
    assert_wait(longest_wait(&cluster).persistent_ms, 6_000);
    cluster.request(CallerRequest::Cancel(JobId(1)));
    assert_wait(longest_wait(&cluster).persistent_ms, 3_000);
    cluster.request(CallerRequest::Cancel(JobId(2)));
    assert_eq!(longest_wait(&cluster), LongestWait::default());
}

/// Waits of tasks with an end are reported apart from those of persistent tasks. They count from
/// the last placement of a task of the step, and not while the step waits for another step.
#[test]
fn tasks_with_an_end_are_counted_separately() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(20), StepSpec { after: vec![0], ..step(1) }]);
    cluster.carry_out_orders();
    cluster.advance(3_000);
    cluster.heartbeat("m1");
    assert_eq!(longest_wait(&cluster).persistent_ms, 0);
    assert_wait(longest_wait(&cluster).other_ms, 3_000);
    cluster.end_all_runs(EndKind::Done);
    cluster.carry_out_orders();
    cluster.advance(MAX_DETECTION_DELAY_MS);
    assert_eq!(longest_wait(&cluster), LongestWait::default());
}
