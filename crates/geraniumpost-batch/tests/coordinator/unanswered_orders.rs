//! Minions that leave orders without a response.

use geraniumpost_batch::{OrderKindTag, OrderOutcome, TaskId};

use crate::cluster::{Cluster, step, task};

const FIRST: TaskId = task(1, 0, 0);
const SECOND: TaskId = task(2, 0, 0);
const MINION: &str = "m1-1";

/// Returns a cluster in which the minion has left the start of the first task without a response.
fn cluster_with_unanswered_start() -> Cluster {
    let mut cluster = Cluster::new().with_minions(&[MINION]);
    cluster.submit(FIRST.job.0, vec![step(1)]);
    leave_start_unanswered(&mut cluster);
    cluster
}

fn leave_start_unanswered(cluster: &mut Cluster) {
    let start = cluster.orders.pop().expect("the task is placed");
    cluster.report_result(&start, OrderKindTag::Start, OrderOutcome::NoResponse);
}

fn started_tasks(cluster: &Cluster) -> Vec<TaskId> {
    cluster.orders.iter().map(|order| order.task).collect()
}

/// Guards against tasks that are placed on a minion which has crashed, before its agent misses a
/// heartbeat: they wait there for its return, and the crash counts against them.
#[test]
fn minion_that_left_an_order_unanswered_gets_no_task_before_it_is_polled() {
    let mut cluster = cluster_with_unanswered_start();
    cluster.submit(SECOND.job.0, vec![step(1)]);
    cluster.advance(200);
    assert_eq!(started_tasks(&cluster), []);
    cluster.poll(MINION);
    assert!(started_tasks(&cluster).contains(&SECOND));
}

/// As above, for a task whose placement is being written when the order gets no response.
#[test]
fn placement_is_withdrawn_if_the_minion_leaves_an_order_unanswered_during_the_write() {
    let mut cluster = Cluster::new().with_minions(&[MINION]);
    cluster.submit(FIRST.job.0, vec![step(1)]);
    cluster.confirm_writes = false;
    cluster.submit(SECOND.job.0, vec![step(1)]);
    leave_start_unanswered(&mut cluster);
    cluster.confirm_writes = true;
    cluster.confirm_pending_writes();
    cluster.advance(200);
    assert_eq!(started_tasks(&cluster), []);
}

/// Guards against a minion that gets no tasks although it responds: one lost response must not
/// outlast the next one.
#[test]
fn minion_that_responds_to_a_later_order_gets_tasks() {
    let mut cluster = cluster_with_unanswered_start();
    cluster.advance(400);
    cluster.carry_out_orders();
    cluster.submit(SECOND.job.0, vec![step(1)]);
    assert_eq!(started_tasks(&cluster), [SECOND]);
}
