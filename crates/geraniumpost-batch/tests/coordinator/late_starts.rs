//! Start orders that had no response and are carried out after their run is over.
//!
//! The minion that ran the task refuses such an order. Another process that has started under the
//! same id meanwhile does not, unless the run was stopped there in advance.

use assert_matches::assert_matches;
use geraniumpost_batch::tuning::{ORDER_RESULT_TIMEOUT_MS, ORDER_RETRY_DELAY_MS};
use geraniumpost_batch::{
    CallerRequest, Demand, EndKind, Feature, FromAgent, JobId, MinionInfo, Order, OrderKind,
    OrderKindTag, OrderOutcome, StepSpec,
};
use geraniumpost_schema::Name;

use crate::cluster::{COMPLETED, Cluster, LEASE_MS, minion_info, step};

const EARLIER: &str = "m1@1";
const LATER: &str = "m1@2";
const LAST: &str = "m1@3";
/// Interval between ticks of the coordinator in `Cluster::advance`, in milliseconds.
const TICK_MS: u64 = 100;
/// Longer than a lease and the margin after which it counts as expired, in milliseconds.
const EXPIRY_MS: u64 = 2 * LEASE_MS;

fn cluster_with_start() -> (Cluster, Order) {
    let mut cluster = Cluster::new().with_minions(&[EARLIER]);
    cluster.submit(1, vec![step(1)]);
    let start = cluster.orders.remove(0);
    assert_matches!(start.kind, OrderKind::Start { .. });
    (cluster, start)
}

/// Returns a cluster in which a task runs although a copy of its start order had no response, and
/// the start order.
fn cluster_with_unanswered_copy() -> (Cluster, Order) {
    let (mut cluster, start) = cluster_with_start();
    cluster.report_result(&start, OrderKindTag::Start, OrderOutcome::NoResponse);
    cluster.advance(ORDER_RETRY_DELAY_MS + TICK_MS);
    assert_eq!(cluster.orders, std::slice::from_ref(&start), "the start is sent again");
    cluster.carry_out_orders();
    cluster.poll(EARLIER);
    (cluster, start)
}

/// Lets another process start under the id of the minion, as the agent reports it.
fn restart(cluster: &mut Cluster, earlier: &str, later: &str) {
    cluster.orders.clear();
    cluster.running.remove(&Name::from(earlier));
    let (minion, replaced_by) = (Name::from(earlier), Some(Name::from(later)));
    cluster.send(later, FromAgent::MinionTerminated { minion, crashed: true, replaced_by });
    cluster.send(later, FromAgent::Minion(minion_info(later)));
}

fn stops_of(cluster: &Cluster, start: &Order, minion: &str) -> usize {
    let expected = Order { minion: minion.into(), kind: OrderKind::Stop, ..start.clone() };
    cluster.orders.iter().filter(|order| **order == expected).count()
}

/// Checks that the run of `start` is stopped in advance on each process that starts under the
/// minion's id.
fn assert_stopped_on_later_processes(mut cluster: Cluster, start: &Order) {
    for (earlier, later) in [(EARLIER, LATER), (LATER, LAST)] {
        restart(&mut cluster, earlier, later);
        assert_eq!(stops_of(&cluster, start, later), 1, "{later}: {:?}", cluster.orders);
        let stop = Order { minion: later.into(), kind: OrderKind::Stop, ..start.clone() };
        cluster.report_result(&stop, OrderKindTag::Stop, OrderOutcome::Done);
    }
}

fn run_ends_as(kind: EndKind) -> (Cluster, Order) {
    let (mut cluster, start) = cluster_with_unanswered_copy();
    cluster.end_all_runs(kind);
    (cluster, start)
}

fn run_is_cancelled() -> (Cluster, Order) {
    let (mut cluster, start) = cluster_with_unanswered_copy();
    cluster.request(CallerRequest::Cancel(JobId(1)));
    cluster.carry_out_orders();
    cluster.poll(EARLIER);
    (cluster, start)
}

/// The agent's time-out passes only after the stop was accepted.
fn start_has_no_response_while_it_is_stopped() -> (Cluster, Order) {
    let (mut cluster, start) = cluster_with_start();
    cluster.request(CallerRequest::Cancel(JobId(1)));
    let stop = cluster.orders.remove(0);
    cluster.report_result(&stop, OrderKindTag::Stop, OrderOutcome::RunIsOver);
    cluster.report_result(&start, OrderKindTag::Start, OrderOutcome::NoResponse);
    cluster.poll(EARLIER);
    (cluster, start)
}

/// The second copy is carried out, and only then the first has no response.
fn earlier_copy_has_no_response_after_the_start() -> (Cluster, Order) {
    let (mut cluster, start) = cluster_with_start();
    cluster.advance(ORDER_RESULT_TIMEOUT_MS + TICK_MS);
    cluster.carry_out_orders();
    cluster.poll(EARLIER);
    cluster.report_result(&start, OrderKindTag::Start, OrderOutcome::NoResponse);
    cluster.end_all_runs(EndKind::Done);
    (cluster, start)
}

/// The task ends so quickly that its end is listed before the result of the start is known.
fn end_is_listed_before_the_result() -> (Cluster, Order) {
    let (mut cluster, start) = cluster_with_start();
    cluster.running.entry(EARLIER.into()).or_default().insert(start.task, start.run);
    cluster.end_all_runs(EndKind::Done);
    assert_eq!(cluster.job_state(1), COMPLETED);
    (cluster, start)
}

fn run_is_missing() -> (Cluster, Order) {
    let (mut cluster, start) = cluster_with_unanswered_copy();
    cluster.running.clear();
    cluster.poll(EARLIER);
    (cluster, start)
}

fn link_is_lost_before_the_end() -> (Cluster, Order) {
    let (mut cluster, start) = cluster_with_start();
    cluster.running.entry(EARLIER.into()).or_default().insert(start.task, start.run);
    cluster.disconnect_agent(EARLIER);
    cluster.join(EARLIER, |info| info);
    cluster.end_all_runs(EndKind::Done);
    (cluster, start)
}

fn lease_expires() -> (Cluster, Order) {
    let (mut cluster, start) = cluster_with_unanswered_copy();
    cluster.disconnect_agent(EARLIER);
    cluster.advance(EXPIRY_MS);
    cluster.join(EARLIER, |info| info);
    (cluster, start)
}

/// Guards against a task that is done, stopped or placed again, and that another process under the
/// id of its minion starts once more by a late copy of the start order.
macro_rules! late_start_is_stopped_on_later_processes_after {
    ($($case:ident: $ended_run:expr;)*) => {$(
        #[test]
        fn $case() {
            let (cluster, start) = $ended_run;
            assert_stopped_on_later_processes(cluster, &start);
        }
    )*};
}

late_start_is_stopped_on_later_processes_after! {
    run_that_is_done: run_ends_as(EndKind::Done);
    run_that_has_failed: run_ends_as(EndKind::Failed);
    run_that_was_cancelled: run_is_cancelled();
    run_that_was_stopped_before_it_began: start_has_no_response_while_it_is_stopped();
    run_that_a_second_copy_has_started: earlier_copy_has_no_response_after_the_start();
    run_that_ended_before_the_result: end_is_listed_before_the_result();
    run_that_is_not_listed: run_is_missing();
    run_whose_link_was_lost: link_is_lost_before_the_end();
    run_whose_lease_expired: lease_expires();
}

const SECOND: &str = "m2@1";
const AFTER_SECOND: &str = "m2@2";
const SLOW: u64 = 2;

/// Returns a cluster in which a slow run has a copy that was just ordered, and the order for it.
fn cluster_with_copy() -> (Cluster, Order) {
    let cluster = Cluster::new().with_features(&[Feature::Stragglers]);
    let mut cluster = cluster.with_minions(&[EARLIER]);
    cluster.submit(1, vec![step(12)]);
    cluster.carry_out_orders();
    cluster.advance(1_000);
    cluster.end_all_runs(EndKind::Done);
    cluster.default_percent = 10;
    cluster.submit(SLOW, vec![StepSpec { copies_allowed: true, ..step(1) }]);
    cluster.carry_out_orders();
    cluster.join(SECOND, |info| info);
    cluster.advance(1_000);
    cluster.poll(EARLIER);
    cluster.advance(TICK_MS);
    let copy = cluster.orders.remove(0);
    assert_eq!((copy.task.job, copy.run, &*copy.minion), (JobId(SLOW), 2, SECOND));
    (cluster, copy)
}

fn copy_had_no_response() -> (Cluster, Order) {
    let (mut cluster, copy) = cluster_with_copy();
    cluster.report_result(&copy, OrderKindTag::Start, OrderOutcome::NoResponse);
    cluster.carry_out_stop_of_unknown_run();
    (cluster, copy)
}

fn copy_had_no_response_while_it_was_stopped() -> (Cluster, Order) {
    let (mut cluster, copy) = cluster_with_copy();
    cluster.end_all_runs(EndKind::Done);
    assert_eq!(cluster.job_state(SLOW), COMPLETED);
    let stop = cluster.orders.remove(0);
    cluster.report_result(&stop, OrderKindTag::Stop, OrderOutcome::RunIsOver);
    cluster.report_result(&copy, OrderKindTag::Start, OrderOutcome::NoResponse);
    cluster.poll(SECOND);
    (cluster, copy)
}

fn copy_whose_link_was_lost_is_done() -> (Cluster, Order) {
    let (mut cluster, copy) = cluster_with_copy();
    cluster.running.entry(SECOND.into()).or_default().insert(copy.task, copy.run);
    cluster.disconnect_agent(SECOND);
    cluster.join(SECOND, |info| info);
    cluster.end_run(&SECOND.into(), copy.task, EndKind::Done);
    cluster.poll(SECOND);
    assert_eq!(cluster.job_state(SLOW), COMPLETED);
    (cluster, copy)
}

/// Guards against a task that is done and starts once more by a late start of its second copy.
macro_rules! late_start_of_a_copy_is_stopped_on_the_later_process_after {
    ($($case:ident: $ended_copy:expr;)*) => {$(
        #[test]
        fn $case() {
            let (mut cluster, copy) = $ended_copy;
            restart(&mut cluster, SECOND, AFTER_SECOND);
            assert_eq!(stops_of(&cluster, &copy, AFTER_SECOND), 1, "{:?}", cluster.orders);
        }
    )*};
}

late_start_of_a_copy_is_stopped_on_the_later_process_after! {
    copy_without_response: copy_had_no_response();
    copy_that_was_stopped_before_it_began: copy_had_no_response_while_it_was_stopped();
    copy_that_is_done: copy_whose_link_was_lost_is_done();
}

/// Guards against late starts that are forgotten because a job of many tasks leaves many of them.
#[test]
fn all_late_starts_of_a_wide_job_are_stopped() {
    const TASKS: u32 = 2_000;
    let ample = |info| {
        let capacity = Demand { milli_cpus: 4_000_000, memory_mb: 4_000_000, accelerators: 0 };
        MinionInfo { capacity, ..info }
    };
    let mut cluster = Cluster::new();
    cluster.join(EARLIER, ample);
    cluster.submit(1, vec![step(TASKS)]);
    assert_eq!(cluster.orders.len(), TASKS as usize);
    cluster.disconnect_agent(EARLIER);
    cluster.advance(EXPIRY_MS);
    cluster.orders.clear();
    cluster.join(LATER, ample);
    let is_stop = |order: &&Order| order.kind == OrderKind::Stop && &*order.minion == LATER;
    assert_eq!(cluster.orders.iter().filter(is_stop).count(), TASKS as usize);
}
