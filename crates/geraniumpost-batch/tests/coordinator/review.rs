//! What a cold reading of the mends found: each of these fails on the code as it is.

use geraniumpost_batch::{
    Demand, EndKind, FromAgent, OrderKind, OrderOutcome, OrderVerb, StepSpec,
};

use crate::world::{HOLD_MS, SILENT, World, agent, step, task};

/// A coordinator that only one agent reaches falls silent for everybody else, and goes on extending that
/// agent's lease for seven seconds. Then it hears of its successor, which is asked to restart, and takes
/// over from it. Its earlier term has ended, but not the lease that it granted in it a moment ago: the
/// agent's standing task begins elsewhere while it runs, and users see it twice.
#[test]
fn coordinator_that_returns_waits_for_leases_of_its_earlier_term() {
    let mut world = World::new().with_minions(&["m1"]);
    let mut standing = step(1);
    standing.persistent = true;
    world.submit(1, vec![standing]);
    world.obey();
    assert_eq!(world.places().len(), 1);
    world.take_over_from_silent();
    world.join("m2", |info| info);
    world.pass(7_000);
    assert!(world.orders.is_empty(), "the successor waits for the silent coordinator");
    let left = world.coordinator.leases_for_successor(world.now);
    assert!(left.unreached.contains_key(&agent("m1")));
    // The silent one extended the lease until now, so that it lasts for as long as any.
    world.take_over_with(&left.after_takeover(None, SILENT, HOLD_MS));
    world.join("m2", |info| info);
    world.pass(HOLD_MS);
    assert!(
        world.orders.is_empty(),
        "begun elsewhere under a lease that holds: {:?}",
        world.orders
    );
}

/// A task of a leaving minion is stopped, so that it goes on elsewhere, and the store leaves the write of
/// that end without an answer. The minion leaves, its agent says so, is told at once that the records hold
/// it, and is taken away with its VM. The coordinator is lost with the write: its successor finds the task
/// on the minion that has left, nobody can tell it better, and users miss the task until a lease has lapsed.
#[test]
fn departure_is_not_settled_before_earlier_ends_are_recorded() {
    let mut world = World::new().with_minions(&["m1"]);
    let mut standing = step(1);
    standing.persistent = true;
    world.submit(1, vec![standing]);
    world.obey();
    let (task, minion, _) = world.places()[0].clone();
    world.join("m1", |mut info| {
        info.draining = true;
        info.sequence = 2;
        info
    });
    world.writes_pass = false;
    world.end(&minion, task, EndKind::Stopped);
    world.look("m1");
    world.say("m1", FromAgent::MinionTerminated { minion: minion.clone() });
    assert!(world.settled.is_empty(), "the records still name a run there");
    world.pass_writes();
    assert_eq!(world.settled, [minion]);
}

/// The same with an agent that was cut off: what ran beside it is taken for ended once its lease has
/// lapsed, while the store is away. Then the agent is there again and says that its minion has left.
#[test]
fn departure_is_not_settled_before_a_lapse_is_recorded() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(1)]);
    world.obey();
    world.lose_agent("m1");
    world.writes_pass = false;
    world.pass(HOLD_MS + 1_000);
    world.say("m1", FromAgent::Hello { agent: agent("m1") });
    world.say("m1", FromAgent::MinionTerminated { minion: "m1".into() });
    assert!(world.settled.is_empty(), "the records still name a run there");
    world.pass_writes();
    assert_eq!(world.settled, ["m1".into()]);
}

/// A serving task that is over its bound, with a filling one beside it that was told to stand still.
fn pressed() -> World {
    let mut world = World::new().with_minions(&["m1"]);
    let serving =
        StepSpec { persistent: true, image: "kiosk".into(), latency_bound_ms: 100, ..step(1) };
    world.submit(1, vec![serving]);
    world.obey();
    let demand = Demand { milli_cpus: 4_000, memory_mb: 1_000, accelerators: 0 };
    let estimate_ms = 60_000;
    let filling =
        StepSpec { best_effort: true, image: "logs".into(), demand, estimate_ms, ..step(1) };
    world.submit(2, vec![filling]);
    world.obey();
    world.set_gauge(task(1, 0, 0), 150);
    world
}

/// Lets a minion's lists be read each 0.4 s, in which the filling task makes progress.
fn watch(world: &mut World, from: u8, to: u8) {
    for percent in from..to {
        world.pass(400);
        world.progress.insert(task(2, 0, 0), percent);
        world.look("m1");
    }
}

/// The order to stand still is lost on its way, and its agent says that it had no answer. The tail stays
/// over its bound beside work that goes on at full speed, and users wait until that is over: the order is
/// taken for carried out and never given again.
#[test]
fn pace_without_an_answer_is_given_again() {
    let mut world = pressed();
    watch(&mut world, 1, 10);
    let lost: Vec<_> = std::mem::take(&mut world.orders);
    assert_eq!(lost.last().map(|o| o.kind.clone()), Some(OrderKind::Pace { percent: 0 }));
    for order in lost {
        world.result(&order, OrderVerb::Pace, OrderOutcome::Unanswered);
    }
    watch(&mut world, 10, 20);
    assert!(world.orders.iter().any(|o| o.kind == OrderKind::Pace { percent: 0 }));
}

/// A filling task was told to work slowly when its coordinator is lost, and what serves beside it is calm
/// soon after. The successor takes it to be at full speed, tells it nothing, and it works slowly to its
/// end, beside processors that nobody uses.
#[test]
fn successor_takes_back_a_pace_that_is_no_longer_needed() {
    let mut world = pressed();
    for percent in 1..10 {
        watch(&mut world, percent, percent + 1);
        world.obey();
    }
    assert_eq!(world.paces.get(&task(2, 0, 0)), Some(&0));
    world.paces.insert(task(2, 0, 0), 40);
    world.set_gauge(task(1, 0, 0), 20);
    world.take_over();
    world.join("m1", |info| info);
    for percent in 10..40 {
        watch(&mut world, percent, percent + 1);
        world.obey();
    }
    assert_eq!(world.paces.get(&task(2, 0, 0)), Some(&100), "{:?}", world.places());
}

/// An end is written while its agent has no link, so that the word that the minion may forget it reaches
/// nobody. The agent passes the end on again on its next link, and is not answered: the minion lists the
/// end, and the agent asks for it seven times a second, until another task ends there.
#[test]
fn acknowledgement_that_reached_nobody_is_given_again() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(1)]);
    world.obey();
    world.writes_pass = false;
    world.end_all(EndKind::Done);
    world.lose_agent("m1");
    world.pass_writes();
    // The driver has no link to send it on.
    world.acknowledged.clear();
    world.join("m1", |info| info);
    world.pass(1_000);
    world.look("m1");
    assert_eq!(world.acknowledged.get("m1"), Some(&1));
}

/// A minion refuses a start as its run is over there, and its agent is replaced before it reads the lists
/// again. The next process counts its results from 0, and the coordinator waits for lists from after the
/// refusal: the task goes nowhere until that many orders were given there, and on a quiet minion for ever.
#[test]
fn refused_run_goes_elsewhere_though_its_agent_counts_anew() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(3)]);
    let refused = world.orders.pop().expect("three starts");
    world.obey();
    world.result(&refused, OrderVerb::Start, OrderOutcome::RunIsOver);
    world.restart_agent("m1");
    for _ in 0..25 {
        if let Some(copy) = world.orders.iter().position(|o| o.task == refused.task && o.run == 1) {
            let copy = world.orders.remove(copy);
            world.result(&copy, OrderVerb::Start, OrderOutcome::RunIsOver);
        }
        world.pass(400);
        world.look("m1");
    }
    assert!(world.orders.iter().any(|order| order.task == refused.task && order.run == 2));
}
