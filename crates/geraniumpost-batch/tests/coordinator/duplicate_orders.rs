//! Start orders that are sent more than once.
//!
//! A start without a result is sent again with the same run number while the first copy may still
//! wait in a paused agent. The outcome of one copy says nothing about another: the agent judges
//! each copy by the lease, the capacity and the health of the minion when the copy arrives.

use assert_matches::assert_matches;
use geraniumpost_batch::tuning::{ORDER_RESULT_TIMEOUT_MS, REFUSAL_BACKOFF_MS};
use geraniumpost_batch::{EndKind, Order, OrderKind, OrderKindTag, OrderOutcome};

use crate::cluster::{COMPLETED, Cluster, step, task};

const MINIONS: [&str; 2] = ["m1", "m2"];
/// Longer than a tick, in milliseconds, so that everything due has been done.
const TICK_MS: u64 = 100;

/// Submits one task whose start is sent twice over the same link.
fn cluster_with_repeated_start() -> (Cluster, Order, Order) {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    cluster.submit(1, vec![step(1)]);
    let first = cluster.orders.remove(0);
    let second = await_repeated_start(&mut cluster);
    assert_eq!(first, second);
    (cluster, first, second)
}

/// Advances until a start without a result is sent again, and returns the new copy.
fn await_repeated_start(cluster: &mut Cluster) -> Order {
    for minion in MINIONS {
        cluster.heartbeat(minion);
    }
    cluster.advance(ORDER_RESULT_TIMEOUT_MS + TICK_MS);
    assert_matches!(cluster.orders[..], [_]);
    cluster.orders.remove(0)
}

fn refuse(cluster: &mut Cluster, copy: &Order, outcome: OrderOutcome) {
    cluster.report_result(copy, OrderKindTag::Start, outcome);
    cluster.advance(REFUSAL_BACKOFF_MS + TICK_MS);
}

fn start_orders(cluster: &Cluster) -> usize {
    cluster.orders.iter().filter(|order| matches!(order.kind, OrderKind::Start { .. })).count()
}

/// Lets all minions carry out orders and be polled until the task has ended, and checks that it
/// never runs twice at once.
fn assert_runs_once_to_completion(mut cluster: Cluster) {
    for _ in 0..6 {
        for order in std::mem::take(&mut cluster.orders) {
            cluster.carry_out(order);
            assert!(
                cluster.running_tasks().len() <= 1,
                "two runs at once: {:?}",
                cluster.running_tasks()
            );
        }
        for minion in MINIONS {
            cluster.heartbeat(minion);
            cluster.poll(minion);
        }
        cluster.advance(REFUSAL_BACKOFF_MS + TICK_MS);
    }
    assert_matches!(cluster.running_tasks()[..], [(id, ..)] if id == task(1, 0, 0));
    cluster.end_all_runs(EndKind::Done);
    assert_eq!(cluster.job_state(1), COMPLETED);
}

/// The first copy is refused while the second one is still on its way; the second one is then
/// carried out.
fn second_copy_is_carried_out(outcome: OrderOutcome) {
    let (mut cluster, first, second) = cluster_with_repeated_start();
    refuse(&mut cluster, &first, outcome);
    assert_eq!(start_orders(&cluster), 0, "the second copy may still be carried out");
    cluster.carry_out(second);
    assert_runs_once_to_completion(cluster);
}

/// The second copy is carried out before the refusal of the first one is reported.
fn refusal_arrives_after_the_run_started(outcome: OrderOutcome) {
    let (mut cluster, first, second) = cluster_with_repeated_start();
    cluster.carry_out(second);
    let before = cluster.running_tasks();
    refuse(&mut cluster, &first, outcome);
    assert!(cluster.orders.is_empty(), "the run must continue: {:?}", cluster.orders);
    assert_eq!(cluster.running_tasks(), before);
    assert_runs_once_to_completion(cluster);
}

/// A poll shows the run of one copy before either result is reported.
fn refusal_arrives_after_a_poll_showed_the_run(outcome: OrderOutcome) {
    let (mut cluster, first, second) = cluster_with_repeated_start();
    cluster.running.entry(second.minion.clone()).or_default().insert(second.task, second.run);
    cluster.poll(&second.minion);
    refuse(&mut cluster, &first, outcome);
    assert!(cluster.orders.is_empty(), "the run must continue: {:?}", cluster.orders);
    cluster.report_result(&second, OrderKindTag::Start, OrderOutcome::Done);
    assert_runs_once_to_completion(cluster);
}

/// One copy is too late, and another is lost with its link. The copy sent over the next link is
/// refused, but the lost one may still be carried out.
fn copy_is_lost_with_its_link(outcome: OrderOutcome) {
    let (mut cluster, first, second) = cluster_with_repeated_start();
    cluster.report_result(&first, OrderKindTag::Start, OrderOutcome::TooLate);
    let minion = second.minion.clone();
    cluster.disconnect_agent(&minion);
    cluster.join(&minion, |info| info);
    let third = cluster.orders.remove(0);
    refuse(&mut cluster, &third, outcome);
    assert_eq!(start_orders(&cluster), 0, "the second copy may still be carried out");
    cluster.carry_out(second);
    assert_runs_once_to_completion(cluster);
}

/// The link is replaced between two copies, and the refusal of the first one arrives over the new
/// link.
fn link_is_replaced_between_copies(outcome: OrderOutcome) {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    cluster.submit(1, vec![step(1)]);
    let first = cluster.orders.remove(0);
    let minion = first.minion.clone();
    cluster.disconnect_agent(&minion);
    cluster.join(&minion, |info| info);
    let second = cluster.orders.remove(0);
    refuse(&mut cluster, &first, outcome);
    assert_eq!(start_orders(&cluster), 0, "the second copy may still be carried out");
    cluster.carry_out(second);
    assert_runs_once_to_completion(cluster);
}

/// The coordinator changes between two copies, and the refusal of the predecessor's copy is
/// reported to the successor.
fn coordinator_changes_between_copies(outcome: OrderOutcome) {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    cluster.submit(1, vec![step(1)]);
    let first = cluster.orders.remove(0);
    cluster.take_over();
    for minion in MINIONS {
        cluster.join(minion, |info| info);
    }
    let second = cluster.orders.remove(0);
    refuse(&mut cluster, &first, outcome);
    assert_eq!(start_orders(&cluster), 0, "the second copy may still be carried out");
    cluster.carry_out(second);
    assert_runs_once_to_completion(cluster);
}

/// Both copies are refused, and the task starts on another minion.
fn both_copies_are_refused(outcome: OrderOutcome) {
    let (mut cluster, first, second) = cluster_with_repeated_start();
    refuse(&mut cluster, &first, outcome);
    refuse(&mut cluster, &second, OrderOutcome::NoCapacity);
    assert_runs_once_to_completion(cluster);
}

/// A copy without an answer may be carried out at any time, whatever the result of the other copy.
fn one_copy_is_refused_and_one_is_unanswered(outcome: OrderOutcome) {
    let (mut cluster, first, second) = cluster_with_repeated_start();
    cluster.report_result(&second, OrderKindTag::Start, OrderOutcome::NoResponse);
    refuse(&mut cluster, &first, outcome);
    assert_eq!(start_orders(&cluster), 0, "the second copy may still be carried out");
    cluster.carry_out(second);
    assert_runs_once_to_completion(cluster);
}

/// A paused agent keeps its link open while start orders are repeated. When it resumes it handles
/// the copies one by one, refusing some and carrying out others. If the coordinator restarted the
/// task elsewhere after the first refusal, it would run twice at once, or a healthy run would be
/// thrown away.
macro_rules! for_each_refusal {
    ($($case:ident),* $(,)?) => {$(
        mod $case {
            use geraniumpost_batch::OrderOutcome;

            #[test]
            fn not_sent() {
                super::$case(OrderOutcome::NotSent);
            }

            #[test]
            fn no_capacity() {
                super::$case(OrderOutcome::NoCapacity);
            }

            #[test]
            fn unhealthy() {
                super::$case(OrderOutcome::Unhealthy);
            }

            #[test]
            fn bad_ticket() {
                super::$case(OrderOutcome::BadTicket);
            }

            #[test]
            fn malformed() {
                super::$case(OrderOutcome::Malformed);
            }
        }
    )*};
}

for_each_refusal!(
    second_copy_is_carried_out,
    refusal_arrives_after_the_run_started,
    refusal_arrives_after_a_poll_showed_the_run,
    copy_is_lost_with_its_link,
    link_is_replaced_between_copies,
    coordinator_changes_between_copies,
    both_copies_are_refused,
    one_copy_is_refused_and_one_is_unanswered,
);

/// A minion reports that a run is over, and its agent is killed before it has polled the minion.
/// The restarted agent numbers its results from the beginning. If its polls were compared with the
/// number of the earlier result, none would ever seem recent enough, and the task would wait for
/// ever.
#[test]
fn task_of_an_ended_run_restarts_although_its_agent_was_killed() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(1)]);
    let order = cluster.orders.remove(0);
    cluster.report_result(&order, OrderKindTag::Start, OrderOutcome::RunIsOver);
    cluster.restart_agent("m1");
    if let Some(copy) = cluster.orders.pop() {
        cluster.report_result(&copy, OrderKindTag::Start, OrderOutcome::RunIsOver);
    }
    for _ in 0..10 {
        cluster.heartbeat("m1");
        cluster.poll("m1");
        cluster.advance(TICK_MS);
    }
    assert_matches!(cluster.orders[..], [ref start] if start.run == 2);
}

/// Returns the number of extra orders, and the milliseconds from the refusal of all copies of a
/// start until the task is started elsewhere. Minions carry orders out at once and are polled every
/// 100 ms.
fn cost_of_refusals(copies: usize) -> (usize, u64) {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    cluster.submit(1, vec![step(1)]);
    let mut refused = vec![cluster.orders.remove(0)];
    while refused.len() < copies {
        let copy = await_repeated_start(&mut cluster);
        refused.push(copy);
    }
    for copy in &refused {
        cluster.report_result(copy, OrderKindTag::Start, OrderOutcome::NoCapacity);
    }
    let refused_ms = cluster.now.steady_ms;
    let mut extra_orders = 0;
    while start_orders(&cluster) == 0 {
        extra_orders += cluster.orders.len();
        cluster.carry_out_orders();
        for minion in MINIONS {
            cluster.heartbeat(minion);
            cluster.poll(minion);
        }
        cluster.advance(TICK_MS);
        assert!(
            cluster.now.steady_ms < refused_ms + 5_000,
            "the task was not placed elsewhere within 5 s"
        );
    }
    (extra_orders, cluster.now.steady_ms - refused_ms)
}

/// Minions often refuse starts for lack of capacity. After a single copy no other one can still be
/// carried out, so the task waits for the usual pause only, without a stop and a poll.
#[test]
fn refusal_of_a_single_copy_needs_no_extra_order() {
    let pause_ms = REFUSAL_BACKOFF_MS.next_multiple_of(TICK_MS);
    assert_eq!(cost_of_refusals(1), (0, pause_ms));
}

/// A repeated start is rare; after its refusal the task waits for one additional stop and poll.
#[test]
fn refusal_of_a_repeated_start_needs_one_stop() {
    let pause_ms = REFUSAL_BACKOFF_MS.next_multiple_of(TICK_MS);
    let (stops, waited_ms) = cost_of_refusals(2);
    assert_eq!(stops, 1);
    assert!(waited_ms <= pause_ms + 2 * TICK_MS, "waited {waited_ms} ms");
}
