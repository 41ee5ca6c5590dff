//! Start orders of which several copies are on their way.
//!
//! A start without a result is given again under the same number while the first copy may still wait in a
//! frozen agent. What becomes of one copy says nothing of the other: the agent judges each by the lease, the
//! room and the health of the moment at which it reaches it.

use assert_matches::assert_matches;
use geraniumpost_batch::tuning::{NO_CAPACITY_BACKOFF_MS, ORDER_RESULT_TIMEOUT_MS};
use geraniumpost_batch::{EndKind, Order, OrderKind, OrderOutcome, OrderVerb};

use crate::world::{COMPLETED, World, step, task};

const MINIONS: [&str; 2] = ["m1", "m2"];
/// More than a tick, in milliseconds: what has become due is done.
const TICK_MS: u64 = 100;

/// Submits one task, whose start is given twice over a link that is never lost.
fn given_twice() -> (World, Order, Order) {
    let mut world = World::new().with_minions(&MINIONS);
    world.submit(1, vec![step(1)]);
    let first = world.orders.remove(0);
    let second = given_again(&mut world);
    assert_eq!(first, second);
    (world, first, second)
}

/// Lets so much time pass that a start without a result is given again.
fn given_again(world: &mut World) -> Order {
    for minion in MINIONS {
        world.beat(minion);
    }
    world.pass(ORDER_RESULT_TIMEOUT_MS + TICK_MS);
    assert_matches!(world.orders[..], [_]);
    world.orders.remove(0)
}

fn refuse(world: &mut World, copy: &Order, outcome: OrderOutcome) {
    world.result(copy, OrderVerb::Start, outcome);
    world.pass(NO_CAPACITY_BACKOFF_MS + TICK_MS);
}

fn starts(world: &World) -> usize {
    world.orders.iter().filter(|order| matches!(order.kind, OrderKind::Start { .. })).count()
}

/// Lets all minions obey and show their lists, until the task has ended; it never runs twice.
fn runs_once_to_its_end(mut world: World) {
    for _ in 0..6 {
        for order in std::mem::take(&mut world.orders) {
            world.obey_one(order);
            assert!(world.places().len() <= 1, "two runs at once: {:?}", world.places());
        }
        for minion in MINIONS {
            world.beat(minion);
            world.look(minion);
        }
        world.pass(NO_CAPACITY_BACKOFF_MS + TICK_MS);
    }
    assert_matches!(world.places()[..], [(of, ..)] if of == task(1, 0, 0));
    world.end_all(EndKind::Done);
    assert_eq!(world.state(1), COMPLETED);
}

/// The first copy is refused while the second one is still on its way, and is carried out then.
fn second_copy_is_carried_out(outcome: OrderOutcome) {
    let (mut world, first, second) = given_twice();
    refuse(&mut world, &first, outcome);
    assert_eq!(starts(&world), 0, "the second copy may still be carried out");
    world.obey_one(second);
    runs_once_to_its_end(world);
}

/// The second copy was carried out, and the refusal of the first one is told later.
fn refusal_comes_after_the_run_began(outcome: OrderOutcome) {
    let (mut world, first, second) = given_twice();
    world.obey_one(second);
    let before = world.places();
    refuse(&mut world, &first, outcome);
    assert!(world.orders.is_empty(), "the run goes on: {:?}", world.orders);
    assert_eq!(world.places(), before);
    runs_once_to_its_end(world);
}

/// A look shows that one copy was carried out before either result is told.
fn refusal_comes_after_the_run_was_seen(outcome: OrderOutcome) {
    let (mut world, first, second) = given_twice();
    world.running.entry(second.minion.clone()).or_default().insert(second.task, second.run);
    world.look(&second.minion);
    refuse(&mut world, &first, outcome);
    assert!(world.orders.is_empty(), "the run goes on: {:?}", world.orders);
    world.result(&second, OrderVerb::Start, OrderOutcome::Done);
    runs_once_to_its_end(world);
}

/// One copy is too late, and another one is lost with its link. The copy that is given over the next link
/// is refused, but the lost one may still be carried out.
fn copy_is_lost_with_its_link(outcome: OrderOutcome) {
    let (mut world, first, second) = given_twice();
    world.result(&first, OrderVerb::Start, OrderOutcome::TooLate);
    let minion = second.minion.clone();
    world.lose_agent(&minion);
    world.join(&minion, |info| info);
    let third = world.orders.remove(0);
    refuse(&mut world, &third, outcome);
    assert_eq!(starts(&world), 0, "the second copy may still be carried out");
    world.obey_one(second);
    runs_once_to_its_end(world);
}

/// The link is replaced between two copies, and the refusal of the first is told over the new link.
fn link_is_replaced_between_copies(outcome: OrderOutcome) {
    let mut world = World::new().with_minions(&MINIONS);
    world.submit(1, vec![step(1)]);
    let first = world.orders.remove(0);
    let minion = first.minion.clone();
    world.lose_agent(&minion);
    world.join(&minion, |info| info);
    let second = world.orders.remove(0);
    refuse(&mut world, &first, outcome);
    assert_eq!(starts(&world), 0, "the second copy may still be carried out");
    world.obey_one(second);
    runs_once_to_its_end(world);
}

/// The coordinator changes between two copies, and its successor is told of the predecessor's copy.
fn coordinator_changes_between_copies(outcome: OrderOutcome) {
    let mut world = World::new().with_minions(&MINIONS);
    world.submit(1, vec![step(1)]);
    let first = world.orders.remove(0);
    world.take_over();
    for minion in MINIONS {
        world.join(minion, |info| info);
    }
    let second = world.orders.remove(0);
    refuse(&mut world, &first, outcome);
    assert_eq!(starts(&world), 0, "the second copy may still be carried out");
    world.obey_one(second);
    runs_once_to_its_end(world);
}

/// Both copies are refused: the task goes elsewhere all the same.
fn both_copies_are_refused(outcome: OrderOutcome) {
    let (mut world, first, second) = given_twice();
    refuse(&mut world, &first, outcome);
    refuse(&mut world, &second, OrderOutcome::NoCapacity);
    runs_once_to_its_end(world);
}

/// A copy without an answer may be carried out at any later time, whatever is said of the other one.
fn one_copy_is_refused_and_one_unanswered(outcome: OrderOutcome) {
    let (mut world, first, second) = given_twice();
    world.result(&second, OrderVerb::Start, OrderOutcome::Unanswered);
    refuse(&mut world, &first, outcome);
    assert_eq!(starts(&world), 0, "the second copy may still be carried out");
    world.obey_one(second);
    runs_once_to_its_end(world);
}

/// An agent is frozen, while its link stays open and its start orders are given again. Once it goes on, it
/// answers the copies one by one: some are refused, others are carried out. If the task began elsewhere
/// after the first refusal, its user would see two runs of it at the same time, or a run that is thrown
/// away although it was well.
macro_rules! for_each_refusal {
    ($($case:ident),* $(,)?) => {$(
        mod $case {
            use geraniumpost_batch::OrderOutcome;

            #[test]
            fn not_sent() {
                super::$case(OrderOutcome::NotSent);
            }

            #[test]
            fn no_room() {
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
    refusal_comes_after_the_run_began,
    refusal_comes_after_the_run_was_seen,
    copy_is_lost_with_its_link,
    link_is_replaced_between_copies,
    coordinator_changes_between_copies,
    both_copies_are_refused,
    one_copy_is_refused_and_one_unanswered,
);

/// A minion says that a run is over, and its agent is killed before it has shown the minion's lists. The next
/// process of the agent counts its results from the beginning. Were its lists compared with the number of
/// the earlier one's result, none of them would ever seem new enough, and the task would wait for ever.
#[test]
fn run_that_is_over_begins_anew_although_its_agent_was_killed() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(1)]);
    let order = world.orders.remove(0);
    world.result(&order, OrderVerb::Start, OrderOutcome::RunIsOver);
    world.restart_agent("m1");
    if let Some(copy) = world.orders.pop() {
        world.result(&copy, OrderVerb::Start, OrderOutcome::RunIsOver);
    }
    for _ in 0..10 {
        world.beat("m1");
        world.look("m1");
        world.pass(TICK_MS);
    }
    assert_matches!(world.orders[..], [ref start] if start.run == 2);
}

/// Returns the orders and the milliseconds from the refusal of all copies of a start until the task's
/// start elsewhere leaves, where minions obey at once and are looked at every 100 ms.
fn cost_of_refusals(copies: usize) -> (usize, u64) {
    let mut world = World::new().with_minions(&MINIONS);
    world.submit(1, vec![step(1)]);
    let mut refused = vec![world.orders.remove(0)];
    while refused.len() < copies {
        let copy = given_again(&mut world);
        refused.push(copy);
    }
    for copy in &refused {
        world.result(copy, OrderVerb::Start, OrderOutcome::NoCapacity);
    }
    let began_ms = world.now.steady_ms;
    let mut extra = 0;
    while starts(&world) == 0 {
        extra += world.orders.len();
        world.obey();
        for minion in MINIONS {
            world.beat(minion);
            world.look(minion);
        }
        world.pass(TICK_MS);
        assert!(world.now.steady_ms < began_ms + 5_000, "never placed elsewhere");
    }
    (extra, world.now.steady_ms - began_ms)
}

/// Minions refuse starts for want of room all day long. With a single copy there is nothing to bar: its
/// user must not wait for a stop and a look on top of the usual pause.
#[test]
fn refusal_of_a_single_copy_costs_nothing_more() {
    let pause_ms = NO_CAPACITY_BACKOFF_MS.next_multiple_of(TICK_MS);
    assert_eq!(cost_of_refusals(1), (0, pause_ms));
}

/// A start that was given twice is seldom, and its task waits for one stop and one look more.
#[test]
fn refusal_of_a_repeated_start_costs_one_stop() {
    let pause_ms = NO_CAPACITY_BACKOFF_MS.next_multiple_of(TICK_MS);
    let (stops, waited_ms) = cost_of_refusals(2);
    assert_eq!(stops, 1);
    assert!(waited_ms <= pause_ms + 2 * TICK_MS, "waited {waited_ms} ms");
}
