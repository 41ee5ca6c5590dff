//! Start orders that are sent more than once.
//!
//! A start without a result is sent again with the same run number, while the first copy may still
//! be queued in a paused agent. The outcome of one copy does not determine that of another, because
//! the agent checks the lease, the capacity and the health of the minion when each copy arrives.

use assert_matches::assert_matches;
use geraniumpost_batch::tuning::{ORDER_RESULT_TIMEOUT_MS, REFUSAL_BACKOFF_MS};
use geraniumpost_batch::{EndKind, Order, OrderKind, OrderKindTag, OrderOutcome};

use crate::cluster::{COMPLETED, Cluster, step, task};

const MINIONS: [&str; 2] = ["m1", "m2"];
/// Interval between ticks of the coordinator in `Cluster::advance`, in milliseconds. Advancing by
/// this much beyond a time-out ensures that the time-out has been handled.
const TICK_MS: u64 = 100;

/// Returns a cluster in which the start of a task was sent twice over the same link, and both
/// copies of the order.
fn cluster_with_repeated_start() -> (Cluster, Order, Order) {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    cluster.submit(1, vec![step(1)]);
    let first = cluster.orders.remove(0);
    let second = await_repeated_start(&mut cluster);
    assert_eq!(first, second);
    (cluster, first, second)
}

/// Advances until a start without a result is sent again, and returns the repeated order.
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

fn start_order_count(cluster: &Cluster) -> usize {
    cluster.orders.iter().filter(|order| matches!(order.kind, OrderKind::Start { .. })).count()
}

/// Carries out orders and polls all minions repeatedly, checks that the task never runs twice at
/// once, then ends its run and checks that the job completes.
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

/// The first copy is refused while the second is still in flight; the second is carried out later.
fn check_late_second_copy(outcome: OrderOutcome) {
    let (mut cluster, first, second) = cluster_with_repeated_start();
    refuse(&mut cluster, &first, outcome);
    assert_eq!(start_order_count(&cluster), 0, "the second copy may still be carried out");
    cluster.carry_out(second);
    assert_runs_once_to_completion(cluster);
}

/// The second copy is carried out before the refusal of the first is reported.
fn check_refusal_after_start_of_run(outcome: OrderOutcome) {
    let (mut cluster, first, second) = cluster_with_repeated_start();
    cluster.carry_out(second);
    let before = cluster.running_tasks();
    refuse(&mut cluster, &first, outcome);
    assert!(cluster.orders.is_empty(), "the run must continue: {:?}", cluster.orders);
    assert_eq!(cluster.running_tasks(), before);
    assert_runs_once_to_completion(cluster);
}

/// A poll shows the run started by the second copy before the result of either copy is reported.
fn check_refusal_after_poll_with_run(outcome: OrderOutcome) {
    let (mut cluster, first, second) = cluster_with_repeated_start();
    cluster.running.entry(second.minion.clone()).or_default().insert(second.task, second.run);
    cluster.poll(&second.minion);
    refuse(&mut cluster, &first, outcome);
    assert!(cluster.orders.is_empty(), "the run must continue: {:?}", cluster.orders);
    cluster.report_result(&second, OrderKindTag::Start, OrderOutcome::Done);
    assert_runs_once_to_completion(cluster);
}

/// The first copy arrives too late, and the link breaks before the second has a result. A third
/// copy is sent over the next link and refused, but the second may still be carried out.
fn check_copy_lost_with_its_link(outcome: OrderOutcome) {
    let (mut cluster, first, second) = cluster_with_repeated_start();
    cluster.report_result(&first, OrderKindTag::Start, OrderOutcome::TooLate);
    let minion = second.minion.clone();
    cluster.disconnect_agent(&minion);
    cluster.join(&minion, |info| info);
    let third = cluster.orders.remove(0);
    refuse(&mut cluster, &third, outcome);
    assert_eq!(start_order_count(&cluster), 0, "the second copy may still be carried out");
    cluster.carry_out(second);
    assert_runs_once_to_completion(cluster);
}

/// The link is replaced between two copies, and the refusal of the first copy arrives over the new
/// link.
fn check_new_link_between_copies(outcome: OrderOutcome) {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    cluster.submit(1, vec![step(1)]);
    let first = cluster.orders.remove(0);
    let minion = first.minion.clone();
    cluster.disconnect_agent(&minion);
    cluster.join(&minion, |info| info);
    let second = cluster.orders.remove(0);
    refuse(&mut cluster, &first, outcome);
    assert_eq!(start_order_count(&cluster), 0, "the second copy may still be carried out");
    cluster.carry_out(second);
    assert_runs_once_to_completion(cluster);
}

/// The coordinator changes between two copies, and the refusal of the predecessor's copy is
/// reported to the successor.
fn check_takeover_between_copies(outcome: OrderOutcome) {
    let mut cluster = Cluster::new().with_minions(&MINIONS);
    cluster.submit(1, vec![step(1)]);
    let first = cluster.orders.remove(0);
    cluster.take_over();
    for minion in MINIONS {
        cluster.join(minion, |info| info);
    }
    let second = cluster.orders.remove(0);
    refuse(&mut cluster, &first, outcome);
    assert_eq!(start_order_count(&cluster), 0, "the second copy may still be carried out");
    cluster.carry_out(second);
    assert_runs_once_to_completion(cluster);
}

/// Both copies are refused, and the task starts on another minion.
fn check_refusal_of_both_copies(outcome: OrderOutcome) {
    let (mut cluster, first, second) = cluster_with_repeated_start();
    refuse(&mut cluster, &first, outcome);
    refuse(&mut cluster, &second, OrderOutcome::NoCapacity);
    assert_runs_once_to_completion(cluster);
}

/// A copy to which the minion has not responded may be carried out at any time, whatever the result
/// of the other copy.
fn check_refusal_and_missing_response(outcome: OrderOutcome) {
    let (mut cluster, first, second) = cluster_with_repeated_start();
    cluster.report_result(&second, OrderKindTag::Start, OrderOutcome::NoResponse);
    refuse(&mut cluster, &first, outcome);
    assert_eq!(start_order_count(&cluster), 0, "the second copy may still be carried out");
    cluster.carry_out(second);
    assert_runs_once_to_completion(cluster);
}

/// Defines a module of tests for each case, with one test per reason of refusal.
///
/// A paused agent keeps its link open while start orders are repeated. After resuming, the agent
/// handles the copies one by one, refusing some and carrying out others. If the coordinator
/// restarted the task elsewhere after the first refusal, the task would run twice at once, or a
/// healthy run would be stopped.
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
    check_late_second_copy,
    check_refusal_after_start_of_run,
    check_refusal_after_poll_with_run,
    check_copy_lost_with_its_link,
    check_new_link_between_copies,
    check_takeover_between_copies,
    check_refusal_of_both_copies,
    check_refusal_and_missing_response,
);

/// A start is refused because its run is over, and the agent is killed before it polls the minion.
/// The restarted agent counts its results from zero. If the count in its polls were compared with
/// that of the killed agent, no poll would ever count as later than the refusal, and the task would
/// wait forever.
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

/// Refuses `copies` copies of a start for lack of capacity. Returns the number of other orders that
/// are sent before the task is started elsewhere, and the time until then in milliseconds. Minions
/// carry orders out at once and are polled every 100 ms.
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
    while start_order_count(&cluster) == 0 {
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

/// Minions often refuse starts for lack of capacity. If only one copy was sent, no other copy can
/// be carried out later, so the task waits only for the usual backoff, without a stop and a poll.
#[test]
fn refusal_of_a_single_copy_needs_no_extra_order() {
    let pause_ms = REFUSAL_BACKOFF_MS.next_multiple_of(TICK_MS);
    assert_eq!(cost_of_refusals(1), (0, pause_ms));
}

/// After the refusal of a repeated start, which is rare, the task also waits for a stop and a poll.
#[test]
fn refusal_of_a_repeated_start_needs_one_stop() {
    let pause_ms = REFUSAL_BACKOFF_MS.next_multiple_of(TICK_MS);
    let (stops, waited_ms) = cost_of_refusals(2);
    assert_eq!(stops, 1);
    assert!(waited_ms <= pause_ms + 2 * TICK_MS, "waited {waited_ms} ms");
}
