//! The longest wait of a task, as reported by gauges.

use geraniumpost_batch::{
    CallerRequest, EndKind, FromAgent, JobId, LongestWait, MinionInfo, OrderKindTag, OrderOutcome,
    StepSpec, lease_expiry_bound_ms,
};

use crate::cluster::{Cluster, LEASE_MS, minion_info, persistent_step, step, task};

/// Largest delay in milliseconds until the beginning or the end of a wait is detected.
const DETECTION_MS: u64 = 500;

fn longest_wait(cluster: &Cluster) -> LongestWait {
    cluster.coordinator.longest_wait(cluster.now)
}

/// Checks that a wait began `since_ms` ago, up to the detection delay.
#[track_caller]
fn assert_wait(wait_ms: u64, since_ms: u64) {
    assert!((since_ms - DETECTION_MS..=since_ms).contains(&wait_ms), "{wait_ms} after {since_ms}");
}

/// Returns a cluster in which a persistent task has been running on m1 for some seconds.
fn with_running_task() -> Cluster {
    let mut cluster = Cluster::with_running_job(&["m1"], persistent_step(1));
    cluster.poll("m1");
    for _ in 0..3 {
        cluster.advance(2_000);
        cluster.heartbeat("m1");
    }
    assert_eq!(longest_wait(&cluster), LongestWait::default());
    cluster
}

/// Lets the task start on a minion that joins, and checks that the wait ends.
fn assert_wait_ends_on(mut cluster: Cluster, minion: &str) {
    cluster.join(minion, |info| info);
    cluster.advance(200);
    cluster.carry_out_orders();
    cluster.poll(minion);
    cluster.advance(DETECTION_MS);
    assert_eq!(longest_wait(&cluster), LongestWait::default());
}

/// Links the task's agent again, and checks that the wait ends, as the task has been running.
#[track_caller]
fn assert_wait_ends_when_agent_returns(mut cluster: Cluster) {
    cluster.join("m1", |info| info);
    cluster.advance(DETECTION_MS);
    assert_eq!(longest_wait(&cluster), LongestWait::default());
}

#[test]
fn empty_cluster_has_no_wait() {
    assert_eq!(longest_wait(&Cluster::new()), LongestWait::default());
}

/// A persistent task ends and cannot be placed. Its wait counts from its end, to the millisecond,
/// until it runs again.
#[test]
fn wait_counts_from_the_end_of_a_run() {
    let mut cluster = with_running_task();
    cluster.join("m1", |info| MinionInfo { draining: true, sequence: 2, ..info });
    cluster.end_run(&"m1".into(), task(1, 0, 0), EndKind::Failed);
    cluster.poll("m1");
    for passed_ms in (1_000..=6_000).step_by(1_000) {
        cluster.advance(1_000);
        assert_eq!(longest_wait(&cluster), LongestWait { persistent_ms: passed_ms, other_ms: 0 });
    }
    assert_wait_ends_on(cluster, "m2");
}

/// An agent is disconnected, so its persistent task may be down. The wait counts from then on, and
/// continues after the lease has expired until the task runs elsewhere.
#[test]
fn wait_lasts_from_a_disconnection_until_a_new_run() {
    let mut cluster = with_running_task();
    cluster.disconnect_agent("m1");
    cluster.advance(3_000);
    assert_wait(longest_wait(&cluster).persistent_ms, 3_000);
    cluster.advance(lease_expiry_bound_ms(LEASE_MS));
    assert!(cluster.log_lines.iter().any(|line| line.contains("event=lease_expired")));
    assert_wait(longest_wait(&cluster).persistent_ms, 3_000 + lease_expiry_bound_ms(LEASE_MS));
    assert_wait_ends_on(cluster, "m2");
}

/// The agent returns, and its task has been running.
#[test]
fn wait_ends_when_the_agent_returns() {
    let mut cluster = with_running_task();
    cluster.disconnect_agent("m1");
    cluster.advance(2_000);
    assert_wait(longest_wait(&cluster).persistent_ms, 2_000);
    assert_wait_ends_when_agent_returns(cluster);
}

/// A minion does not answer its agent, so its persistent task may be down.
#[test]
fn tasks_of_an_unresponsive_minion_wait() {
    let mut cluster = with_running_task();
    cluster.heartbeat_with_unresponsive_minion("m1");
    cluster.advance(1_500);
    assert_wait(longest_wait(&cluster).persistent_ms, 1_500);
}

/// A successor does not know the state of runs whose agents have not linked. Their wait counts from
/// the takeover.
#[test]
fn wait_counts_from_the_takeover() {
    let mut cluster = with_running_task();
    cluster.take_over();
    cluster.advance(2_000);
    assert_wait(longest_wait(&cluster).persistent_ms, 2_000);
    assert_wait_ends_when_agent_returns(cluster);
}

/// The minion refuses every start. The task is placed each time, but is down throughout.
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

/// The store does not confirm the placement, so the start order is not sent.
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
    cluster.advance(DETECTION_MS);
    assert_eq!(longest_wait(&cluster), LongestWait::default());
}

/// A run that starts and fails between two polls ends the wait before it.
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

/// A new incarnation answers the agent. Tasks of the old incarnation are down from then on.
#[test]
fn wait_counts_from_the_report_of_a_new_incarnation() {
    let mut cluster = with_running_task();
    cluster.send("m1", FromAgent::Minion(MinionInfo { draining: true, ..minion_info("m1-b") }));
    cluster.advance(700);
    assert_eq!(longest_wait(&cluster).persistent_ms, 700);
}

/// The longest wait of all open jobs counts; a cancelled job no longer does.
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

/// Tasks that end are counted separately. Their wait counts from the last placement of their step,
/// and a step that waits for another step does not wait for a minion.
#[test]
fn other_tasks_are_counted_separately() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(20), StepSpec { after: vec![0], ..step(1) }]);
    cluster.carry_out_orders();
    cluster.advance(3_000);
    cluster.heartbeat("m1");
    assert_eq!(longest_wait(&cluster).persistent_ms, 0);
    assert_wait(longest_wait(&cluster).other_ms, 3_000);
    cluster.end_all_runs(EndKind::Done);
    cluster.carry_out_orders();
    cluster.advance(DETECTION_MS);
    assert_eq!(longest_wait(&cluster), LongestWait::default());
}
