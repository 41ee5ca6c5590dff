//! Minions that leave as planned, while coordinators change.

use assert_matches::assert_matches;
use geraniumpost_batch::{FromAgent, MinionInfo, Order, OrderKind, StepSpec};

use crate::world::{World, agent, minion, standing, step, task};

/// What a minion says that leaves in `remaining_ms`.
fn notice(name: &str, remaining_ms: u64) -> MinionInfo {
    let mut info = minion(name);
    info.draining = true;
    info.remaining_ms = Some(remaining_ms);
    info.sequence = 2;
    info
}

fn stops(orders: &[Order]) -> Vec<&Order> {
    orders.iter().filter(|order| order.kind == OrderKind::Stop).collect()
}

/// A minion has said that it leaves when the coordinator changes. Its agent is the first to link to
/// the successor, which has not looked at any other minion yet and so knows no other place for the
/// minion's tasks. Unless it tries again, a standing task stays until the minion is gone, and its users
/// miss it for as long as it takes to learn of that.
#[test]
fn tasks_of_a_leaving_minion_are_moved_once_a_successor_knows_other_places() {
    let mut world = World::at_work(&["m1"], standing(1));
    world.say("m1", FromAgent::Minion(notice("m1", 10_000)));
    world.take_over();
    world.join("m1", |_| notice("m1", 10_000));
    assert!(stops(&world.orders).is_empty());
    world.join("m2", |info| info);
    world.pass(300);
    assert_matches!(stops(&world.orders)[..], [stop] if stop.task == task(1, 0, 0));
}

/// A minion says that it leaves while all others are full. Room comes before it is gone, and what
/// runs there goes to it: its users need not wait until the minion has left.
#[test]
fn tasks_of_a_leaving_minion_are_moved_when_room_comes() {
    let mut world = World::at_work(&["m1"], standing(1));
    world.say("m1", FromAgent::Minion(notice("m1", 10_000)));
    world.pass(1_000);
    assert!(stops(&world.orders).is_empty());
    world.join("m2", |info| info);
    world.pass(300);
    assert_matches!(stops(&world.orders)[..], [stop] if &*stop.minion == "m1");
}

/// A task could have ended before its minion leaves, but works at a third of the speed that was
/// expected. Once it can't be done in time any more it moves, and what it has done is kept.
#[test]
fn task_that_will_not_be_done_in_time_is_moved_later() {
    let mut world = World::new().with_minions(&["m1"]);
    let long = StepSpec { estimate_ms: 3_000, checkpoints: true, ..step(1) };
    world.submit(1, vec![long]);
    world.obey();
    world.percent = 1;
    world.look("m1");
    world.join("m2", |info| info);
    world.say("m1", FromAgent::Minion(notice("m1", 6_000)));
    assert!(stops(&world.orders).is_empty());
    for _ in 0..10 {
        world.percent += 2;
        world.pass(400);
        world.beat("m1");
        world.beat("m2");
        world.look("m1");
    }
    assert_matches!(stops(&world.orders).first(), Some(stop) if &*stop.minion == "m1");
}

/// Leaving minions are looked at again and again. One whose tasks were told to stop is not told so
/// anew each time.
#[test]
fn tasks_of_a_leaving_minion_are_stopped_once() {
    let mut world = World::at_work(&["m1", "m2"], standing(2));
    let leaving = world.places()[0].1.clone();
    world.say(&leaving, FromAgent::Minion(notice(&leaving, 10_000)));
    let first = stops(&world.orders).len();
    world.pass(1_000);
    assert_eq!(stops(&world.orders).len(), first);
    assert_eq!(world.orders.iter().filter(|order| order.minion != leaving).count(), 0);
}

/// A minion's farewell is told to a coordinator that can't write just then and is lost before it can. Its
/// agent is not told that it is settled, repeats it to the successor, and the task begins elsewhere
/// at once, not when a lease has lapsed that nobody holds.
#[test]
fn farewell_is_settled_only_once_it_is_written() {
    let mut world = World::at_work(&["m1"], standing(1));
    world.writes_pass = false;
    let word = || FromAgent::MinionTerminated { minion: "m1".into() };
    world.say("m1", word());
    assert!(world.settled.is_empty());
    world.writes_pass = true;
    world.take_over();
    world.join("m2", |info| info);
    world.say("m1", FromAgent::Hello { agent: agent("m1") });
    world.say("m1", word());
    assert_eq!(world.settled, ["m1".into()]);
    world.pass(300);
    assert_matches!(world.orders[..], [ref order] if &*order.minion == "m2" && order.run == 2);
}

/// An agent repeats its word, as the answer to it was lost with a link. Nothing is ended twice, and the
/// agent is told again.
#[test]
fn farewell_that_is_repeated_changes_nothing() {
    let mut world = World::at_work(&["m1", "m2"], standing(1));
    let (_, left, _) = world.places()[0].clone();
    for _ in 0..3 {
        world.say(&left, FromAgent::MinionTerminated { minion: left.clone() });
        world.pass(300);
    }
    assert_eq!(world.settled.len(), 3);
    assert_matches!(world.orders[..], [ref order] if order.minion != left && order.run == 2);
}
