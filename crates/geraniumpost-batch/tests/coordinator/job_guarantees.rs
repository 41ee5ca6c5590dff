//! Guarantees to callers, which also hold if messages are lost or processes fail.

use assert_matches::assert_matches;
use geraniumpost_batch::{
    CallerRequest, CallerResponse, EndKind, FromAgent, JobId, OrderKind, OrderKindTag, OrderOutcome,
};

use crate::cluster::{COMPLETED, Cluster, step, task};

/// A job that was accepted but is not in the store would be lost if the coordinator failed, so the
/// record is written before the response is sent.
#[test]
fn job_is_accepted_only_after_its_record_is_written() {
    let mut cluster = Cluster::new();
    cluster.confirm_writes = false;
    let request_id = cluster.submit(1, vec![step(1)]);
    assert_eq!(cluster.response(request_id), None);
    cluster.confirm_pending_writes();
    assert_eq!(cluster.response(request_id), Some(CallerResponse::Accepted));
}

/// A caller that received no response submits the job again, possibly through another entry and
/// after the job has completed. The submission is accepted again, and the job runs once.
#[test]
fn repeated_submission_runs_once() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(2)]);
    let repeat = cluster.submit(1, vec![step(2)]);
    assert_eq!(cluster.response(repeat), Some(CallerResponse::Accepted));
    cluster.carry_out_orders();
    assert_eq!(cluster.running_tasks().len(), 2);
    cluster.end_all_runs(EndKind::Done);
    assert_eq!(cluster.job_state(1), COMPLETED);
    let late = cluster.submit(1, vec![step(2)]);
    assert_eq!(cluster.response(late), Some(CallerResponse::Accepted));
    assert!(cluster.orders.is_empty());
    assert_eq!(cluster.job_state(1), COMPLETED);
}

/// If a start were sent before its placement is written, a successor would not know the run and
/// would start the task a second time.
#[test]
fn start_is_sent_only_after_its_placement_is_written() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.confirm_writes = false;
    cluster.submit(1, vec![step(1)]);
    assert!(cluster.orders.is_empty());
    cluster.confirm_pending_writes();
    assert_matches!(
        cluster.orders[..],
        [ref order] if matches!(order.kind, OrderKind::Start { .. })
    );
}

/// A minion discards ended tasks once they are acknowledged. If the end of a task were not in the
/// store by then, a successor would run the completed task again.
#[test]
fn end_is_acknowledged_only_after_it_is_written() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(1));
    cluster.confirm_writes = false;
    cluster.end_all_runs(EndKind::Done);
    assert!(cluster.acknowledged.is_empty());
    assert_eq!(cluster.job_state(1), CallerResponse::State(geraniumpost_batch::JobState::Running));
    cluster.confirm_pending_writes();
    assert_eq!(cluster.acknowledged.get("m1"), Some(&1));
    assert_eq!(cluster.job_state(1), COMPLETED);
}

/// The coordinator fails after a placement is written and before the start order is sent. The
/// successor sends the start with the same run number; with a new run number, a delayed copy of a
/// predecessor's order could start a second run.
#[test]
fn successor_repeats_lost_starts() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(1)]);
    cluster.take_over();
    assert!(cluster.orders.is_empty());
    cluster.join("m1", |info| info);
    assert_eq!(cluster.orders.len(), 1);
    assert_eq!(cluster.orders[0].run, 1);
    cluster.carry_out_orders();
    cluster.end_all_runs(EndKind::Done);
    assert_eq!(cluster.job_state(1), COMPLETED);
}

/// Running tasks continue across a takeover.
#[test]
fn successor_keeps_running_tasks() {
    let mut cluster = Cluster::with_running_job(&["m1", "m2"], step(6));
    let before = cluster.running_tasks();
    cluster.take_over();
    cluster.join("m1", |info| info);
    cluster.join("m2", |info| info);
    cluster.advance(1_000);
    assert!(cluster.orders.is_empty());
    assert_eq!(cluster.running_tasks(), before);
}

/// A task fails twice in a queue that allows two attempts. The job fails, and there is no third
/// attempt.
#[test]
fn job_fails_after_its_last_attempt() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    cluster.submit(1, vec![step(1)]);
    for _ in 0..2 {
        cluster.carry_out_orders();
        cluster.end_all_runs(EndKind::Failed);
        cluster.advance(200);
    }
    assert!(cluster.orders.is_empty());
    assert_eq!(cluster.job_state(1), CallerResponse::State(geraniumpost_batch::JobState::Failed));
}

/// Tasks of a cancelled job are stopped, and none is started again.
#[test]
fn tasks_of_a_cancelled_job_are_stopped() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(2));
    let request_id = cluster.request(CallerRequest::Cancel(JobId(1)));
    assert_eq!(cluster.response(request_id), Some(CallerResponse::Cancelled));
    cluster.carry_out_orders();
    cluster.poll("m1");
    assert!(cluster.running_tasks().is_empty());
    cluster.advance(500);
    assert!(cluster.orders.is_empty());
    assert_eq!(
        cluster.job_state(1),
        CallerResponse::State(geraniumpost_batch::JobState::Cancelled)
    );
}

/// A minion does not respond to a start, and refuses the repeated start for lack of capacity. The
/// first copy may still be carried out later, so a stop order invalidates the run before the task
/// is placed again.
#[test]
fn unanswered_start_is_stopped_before_it_is_replaced() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    cluster.submit(1, vec![step(1)]);
    let order = cluster.orders.remove(0);
    cluster.report_result(&order, OrderKindTag::Start, OrderOutcome::NoResponse);
    cluster.advance(400);
    let copy = cluster.orders.remove(0);
    assert_eq!((copy.task, copy.run, &copy.minion), (order.task, order.run, &order.minion));
    cluster.report_result(&copy, OrderKindTag::Start, OrderOutcome::NoCapacity);
    assert_matches!(cluster.orders[..], [ref stop] if stop.kind == OrderKind::Stop);
    cluster.carry_out_orders();
    assert!(cluster.orders.is_empty());
    let minion = order.minion.clone();
    cluster.poll(&minion);
    cluster.advance(300);
    assert_matches!(
        cluster.orders[..],
        [ref start] if start.run == 2 && start.task == task(1, 0, 0)
    );
}

/// If a start was sent only once and refused, the task is placed elsewhere without a stop.
#[test]
fn refused_start_is_placed_elsewhere() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    cluster.submit(1, vec![step(1)]);
    let order = cluster.orders.remove(0);
    cluster.report_result(&order, OrderKindTag::Start, OrderOutcome::NoCapacity);
    cluster.advance(300);
    assert_matches!(cluster.orders[..], [ref start] if start.minion != order.minion);
}

/// A minion runs a task that the coordinator does not know, for example of a cancelled job whose
/// record has been removed. The run uses resources that are not accounted for, so it is stopped.
#[test]
fn unknown_runs_are_stopped() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.running.entry("m1".into()).or_default().insert(task(9, 0, 0), 3);
    cluster.poll("m1");
    assert_matches!(cluster.orders[..], [ref o] if o.kind == OrderKind::Stop && o.run == 3);
}

/// A minion on which every task fails at once always has free capacity, and would get more and more
/// tasks. It is quarantined after failures of two jobs in a row.
#[test]
fn failing_minion_is_quarantined() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(1)]);
    cluster.submit(2, vec![step(1)]);
    cluster.carry_out_orders();
    cluster.end_all_runs(EndKind::Failed);
    cluster.join("m2", |info| info);
    cluster.advance(300);
    assert_eq!(cluster.orders.len(), 2);
    assert!(cluster.orders.iter().all(|order| &*order.minion == "m2"));
}

/// A minion crashes and restarts at the same address. No run of the old incarnation can exist any
/// longer, so its tasks restart at once, without waiting for the lease to expire.
#[test]
fn new_incarnation_releases_tasks_of_the_old_one() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(1));
    cluster.running.clear();
    cluster.join("m1-b", |info| info);
    cluster.advance(200);
    assert_matches!(cluster.orders[..], [ref order] if &*order.minion == "m1-b" && order.run == 2);
    cluster.send(
        "m1",
        FromAgent::MinionTerminated { minion: "m1".into(), crashed: false, replaced_by: None },
    );
    assert_eq!(cluster.orders.len(), 1);
}

/// The agent refuses a successor's copy of a start, while the predecessor's copy may still be in
/// flight. The run is stopped before the task starts elsewhere; otherwise the task could run twice.
#[test]
fn successor_stops_runs_that_its_predecessor_may_have_started() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(1)]);
    cluster.take_over();
    cluster.join("m1", |info| info);
    cluster.join("m2", |info| info);
    let copy = cluster.orders.remove(0);
    cluster.report_result(&copy, OrderKindTag::Start, OrderOutcome::NotSent);
    cluster.advance(300);
    assert_matches!(cluster.orders[..], [ref order] if order.kind == OrderKind::Stop);
}

/// A minion is not polled for two seconds because its agent is busy. Its tasks seem to
/// make no progress only because there are no polls; stopping the tasks would discard their work.
#[test]
fn tasks_that_were_not_polled_do_not_count_as_stalled() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.default_percent = 40;
    cluster.submit(1, vec![step(2)]);
    cluster.carry_out_orders();
    cluster.poll("m1");
    for _ in 0..6 {
        cluster.advance(400);
        cluster.heartbeat("m1");
    }
    assert!(cluster.orders.is_empty());
    cluster.poll("m1");
    cluster.advance(100);
    assert!(cluster.orders.iter().all(|order| order.kind == OrderKind::Stop));
    assert_eq!(cluster.orders.len(), 2);
}

/// Jobs above the limit of open jobs are refused at once with a retry delay, and never run. A
/// repeated submission of an open job is still accepted.
#[test]
fn jobs_beyond_the_limit_are_refused() {
    let mut cluster = Cluster::new();
    let limit = 5;
    cluster.coordinator =
        geraniumpost_batch::Coordinator::new(1, cluster.now).with_max_open_jobs(limit as usize);
    for id in 1..=limit {
        cluster.submit(id, vec![step(1)]);
    }
    let refused = cluster.submit(limit + 1, vec![step(1)]);
    assert_matches!(
        cluster.response(refused),
        Some(CallerResponse::Refused { retry_after_ms: 1..=5_000 })
    );
    let repeat = cluster.submit(1, vec![step(1)]);
    assert_eq!(cluster.response(repeat), Some(CallerResponse::Accepted));
    assert_eq!(cluster.job_state(limit + 1), CallerResponse::Unknown);
}
