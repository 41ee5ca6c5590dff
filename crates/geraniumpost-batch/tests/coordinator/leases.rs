//! Leases of what runs, and minions that come, leave and vanish.

use assert_matches::assert_matches;
use geraniumpost_batch::tuning::STORE_OUTAGE_TOLERANCE_MS;
use geraniumpost_batch::{EndKind, FromAgent, OrderKind, OrderOutcome, lease_expiry_bound_ms};

use crate::world::{COMPLETED, HOLD_MS, SILENT, World, agent, minion, standing, step};

/// An agent is cut off while its minion runs on. Its task must not begin elsewhere before the
/// minion has surely ended it, or a user gets two results.
#[test]
fn work_of_a_lost_agent_waits_for_its_lease() {
    let mut world = World::at_work(&["m1"], step(1));
    world.lose_agent("m1");
    world.join("m2", |info| info);
    world.pass(HOLD_MS);
    assert!(world.orders.is_empty());
    world.pass(600);
    assert_matches!(world.orders[..], [ref order] if &*order.minion == "m2" && order.run == 2);
}

/// The agent comes back in time: the task has run all the while and goes on.
#[test]
fn work_of_a_returning_agent_goes_on() {
    let mut world = World::at_work(&["m1", "m2"], step(1));
    let before = world.places();
    let minion = before[0].1.clone();
    world.lose_agent(&minion);
    world.pass(2_000);
    world.join(&minion, |info| info);
    world.pass(2 * HOLD_MS / 5);
    world.beat(&minion);
    assert!(world.orders.is_empty());
    assert_eq!(world.places(), before);
}

/// A successor reaches no agent of a minion that its predecessor may still be extending the lease
/// of. It waits until that has surely ended.
#[test]
fn successor_waits_for_inherited_leases() {
    let mut world = World::at_work(&["m1"], step(1));
    world.take_over();
    world.join("m2", |info| info);
    world.pass(HOLD_MS);
    assert!(world.orders.is_empty());
    world.pass(600);
    assert_matches!(world.orders[..], [ref order] if &*order.minion == "m2");
}

/// A successor takes over from a silent predecessor while the store is away, and an agent went away
/// at the same time. Once the predecessor says that its term has ended, only leases that it had
/// extended count; users of a standing task would otherwise miss it for eight seconds more.
#[test]
fn word_of_the_predecessor_shortens_the_wait() {
    let mut world = World::at_work(&["m1"], step(1));
    world.take_over_from_silent();
    world.join("m2", |info| info);
    world.pass(500);
    world.coordinator.predecessor_ended(SILENT, world.now);
    world.pass(HOLD_MS);
    assert!(world.orders.is_empty());
    world.pass(600);
    assert_matches!(world.orders[..], [ref order] if &*order.minion == "m2");
}

/// The word comes late, when less is left to wait for than a lease: the wait does not grow.
#[test]
fn late_word_of_the_predecessor_changes_nothing() {
    let mut world = World::at_work(&["m1"], step(1));
    world.take_over_from_silent();
    world.join("m2", |info| info);
    world.pass(HOLD_MS + STORE_OUTAGE_TOLERANCE_MS);
    world.coordinator.predecessor_ended(SILENT, world.now);
    assert!(world.orders.is_empty());
    world.pass(600);
    assert_matches!(world.orders[..], [ref order] if &*order.minion == "m2");
}

/// A coordinator that the store has not confirmed for long may have a successor, which takes work
/// for ended after a time. It must not extend leases beyond that.
#[test]
fn unconfirmed_coordinator_extends_no_lease() {
    let mut world = World::new().with_minions(&["m1"]);
    world.now.steady_ms += STORE_OUTAGE_TOLERANCE_MS + 1;
    let beat = FromAgent::Heartbeat { sent_at_ms: 5, minion_ok: true };
    world.coordinator.handle_agent_message(&agent("m1"), beat, world.now);
    let effects = world.coordinator.take_effects(world.now);
    let lease = effects.iter().find_map(|effect| match effect {
        geraniumpost_batch::Effect::Send {
            message: geraniumpost_batch::ToAgent::Lease { lease_ms, store_ok, .. },
            ..
        } => Some((*lease_ms, *store_ok)),
        _ => None,
    });
    assert_eq!(lease, Some((0, false)));
}

/// The store's answer that an entry coordinates is on its way for three seconds, in which another entry
/// takes over. Were the eight seconds counted from the reading of that answer, leases would be extended
/// beyond what the successor waits for, and a task would run twice.
#[test]
fn confirmation_holds_for_the_time_of_asking() {
    let mut world = World::new().with_minions(&["m1"]);
    let asked_ms = world.now.steady_ms;
    world.now.steady_ms += 3_000;
    world.coordinator.store_confirmed(asked_ms, world.now.steady_ms);
    world.now.steady_ms = asked_ms + STORE_OUTAGE_TOLERANCE_MS;
    world.leases.clear();
    world.beat("m1");
    assert_matches!(world.leases[..], [(_, _, 0)]);
}

/// A minion says that it leaves. It gets no new work, and what it cannot finish moves.
#[test]
fn leaving_minion_is_emptied() {
    let mut world = World::new().with_minions(&["m1"]);
    let mut long = step(1);
    long.estimate_ms = 60_000;
    world.submit(1, vec![long]);
    world.obey();
    world.join("m2", |info| info);
    world.submit(2, vec![step(1)]);
    world.obey();
    world.join("m1", |mut info| {
        info.draining = true;
        info.sequence = 2;
        info.remaining_ms = Some(3_000);
        info
    });
    let stops: Vec<_> = world.orders.iter().filter(|o| o.kind == OrderKind::Stop).collect();
    assert_eq!(stops.len(), 1);
    world.obey();
    world.look("m1");
    world.pass(200);
    assert!(!world.orders.is_empty());
    assert!(world.orders.iter().all(|order| &*order.minion == "m2"));
}

/// A heartbeat that was delayed arrives after a newer one, and says that a leaving minion is ready.
/// It is older, so it changes nothing.
#[test]
fn delayed_heartbeat_changes_nothing() {
    let mut world = World::new();
    world.join("m1", |mut info| {
        info.draining = true;
        info.sequence = 5;
        info
    });
    world.join("m1", |mut info| {
        info.sequence = 4;
        info
    });
    world.submit(1, vec![step(1)]);
    assert!(world.orders.is_empty());
}

/// A standing task ends, however it ends: it is started again, for ever.
#[test]
fn standing_task_is_started_again() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    world.submit(1, vec![standing(1)]);
    for kind in
        [EndKind::Failed, EndKind::Failed, EndKind::Failed, EndKind::LeaseExpired, EndKind::Done]
    {
        world.obey();
        assert_eq!(world.places().len(), 1, "before it ended as {kind}");
        world.end_all(kind);
        world.pass(300);
    }
    assert_eq!(world.orders.len(), 1);
}

/// A minion starts anew beside an agent whose lease is valid, long after the coordinator took over.
/// What begins there at once must not be taken for ended before the next beat renews the lease: it
/// would run twice.
#[test]
fn new_incarnation_shares_its_agents_lease() {
    let mut world = World::new().with_minions(&["m1"]);
    world.pass(2 * HOLD_MS);
    world.beat("m1");
    world.say("m1", FromAgent::Minion(minion("m1-b")));
    world.look("m1-b");
    world.submit(1, vec![step(1)]);
    world.obey();
    assert_eq!(world.places().len(), 1);
    world.pass(300);
    assert!(world.orders.is_empty());
}

/// A minion does not answer its agent, which sends no start to it. The tasks go elsewhere at once,
/// and none is placed there until it answers.
#[test]
fn silent_minion_gets_no_work() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    world.submit(1, vec![step(1)]);
    let order = world.orders.remove(0);
    let minion = order.minion.clone();
    world.beat_without_answer(&minion);
    world.result(&order, geraniumpost_batch::OrderVerb::Start, OrderOutcome::NotSent);
    world.pass(300);
    world.submit(2, vec![step(3)]);
    assert_eq!(world.orders.len(), 4);
    assert!(world.orders.iter().all(|order| order.minion != minion));
}

/// A standing task fails while its minion is nearly full. Its place is kept for it: short tasks are
/// given some room of their own, but not that of a task that ran.
#[test]
fn failed_standing_task_gets_its_room_back() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![standing(15)]);
    let mut large = step(1);
    large.persistent = true;
    large.demand.milli_cpus = 500;
    world.submit(2, vec![large]);
    world.obey();
    assert_eq!(world.places().len(), 16);
    let (task, minion, _) = world.places()[3].clone();
    world.submit(
        3,
        vec![geraniumpost_batch::StepSpec {
            demand: geraniumpost_batch::Demand { milli_cpus: 400, memory_mb: 10, accelerators: 0 },
            ..step(1)
        }],
    );
    world.obey();
    world.end(&minion, task, EndKind::Failed);
    world.look("m1");
    world.pass(300);
    assert_matches!(world.orders[..], [ref order] if order.task == task && order.run == 2);
}

/// All processes have lost power. A minion is looked at before its agent holds a lease, and the
/// agent would send no start; each would come back and be placed again, many times a second.
#[test]
fn nothing_is_placed_before_the_agent_holds_a_lease() {
    let mut world = World::new();
    world.say("m1", FromAgent::Hello { agent: agent("m1") });
    world.say("m1", FromAgent::Minion(minion("m1")));
    world.look("m1");
    world.submit(1, vec![step(1)]);
    assert!(world.orders.is_empty());
    world.beat("m1");
    assert_eq!(world.orders.len(), 1);
}

/// An agent is cut off from the coordinator for a while. If that steps down meanwhile, its successor
/// waits only for what is left of the agent's lease; users of a standing task would otherwise wait
/// for a whole one at each planned restart.
#[test]
fn successor_is_told_of_agents_that_are_not_reached() {
    let mut world = World::at_work(&["m1"], step(1));
    world.lose_agent("m1");
    world.pass(3_000);
    let left = world.coordinator.leases_for_successor(world.now);
    let lasts_ms = left.unreached.get(&agent("m1")).copied();
    assert_eq!(lasts_ms, Some(lease_expiry_bound_ms(HOLD_MS) - 3_000));
    world.take_over_with(&left);
    world.join("m2", |info| info);
    world.pass(2_300);
    assert!(world.orders.is_empty());
    world.pass(300);
    assert_matches!(world.orders[..], [ref order] if &*order.minion == "m2");
}

/// The agent is reached again just before the coordinator steps down. Its lease is extended, and a
/// successor that took it for ending soon would start its tasks elsewhere while they run. The word is
/// taken back before the extension leaves.
#[test]
fn agent_that_is_reached_again_is_not_left_as_unreached() {
    let mut world = World::at_work(&["m1"], step(1));
    world.lose_agent("m1");
    world.pass(3_000);
    assert!(world.coordinator.take_leases_for_successor_changed());
    let beat = FromAgent::Heartbeat { sent_at_ms: world.now.steady_ms, minion_ok: true };
    world.coordinator.handle_agent_message(&agent("m1"), beat, world.now);
    assert!(world.coordinator.take_leases_for_successor_changed());
    assert!(world.coordinator.leases_for_successor(world.now).unreached.is_empty());
}

/// An agent has linked to a successor, whose predecessor is silent for good. It obeys nobody else any
/// more, so that what runs beside it ends with the leases it had then, long before the silent one would
/// have noticed that it lost the store.
#[test]
fn linked_agent_obeys_no_silent_coordinator() {
    let mut world = World::at_work(&["m1"], step(1));
    world.take_over_from_silent();
    world.join("m2", |info| info);
    world.say("m1", FromAgent::Hello { agent: agent("m1") });
    world.pass(HOLD_MS);
    assert!(world.orders.is_empty());
    world.pass(600);
    assert_matches!(world.orders[..], [ref order] if &*order.minion == "m2");
}

/// A machine is lost without a word, and its link stays open. No task is placed on its minion once a few
/// beats of its agent are missing: nobody would carry the order out.
#[test]
fn silent_agent_gets_no_work() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    world.fall_silent("m1");
    world.pass(2_000);
    world.submit(1, vec![step(4)]);
    assert_eq!(world.orders.len(), 4);
    assert!(world.orders.iter().all(|order| &*order.minion == "m2"));
    world.beat("m1");
    world.submit(2, vec![step(4)]);
    assert!(world.orders.iter().any(|order| &*order.minion == "m1"));
}

/// An agent was cut off for as long as a lease, in which its minion has done a task. It links again in the
/// moment in which the lease is surely over, and is about to show that. Were the task taken for ended before its
/// minion's lists are read, it would be done once more, for nothing.
#[test]
fn lists_of_an_agent_that_just_linked_are_read_before_its_lease_counts() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    world.submit(1, vec![step(1)]);
    world.obey();
    let (task, minion, _) = world.places()[0].clone();
    world.lose_agent(&minion);
    world.end(&minion, task, EndKind::Done);
    world.pass(lease_expiry_bound_ms(HOLD_MS) - 100);
    world.say(&minion, FromAgent::Hello { agent: agent(&minion) });
    world.pass(200);
    world.look(&minion);
    assert!(world.orders.is_empty());
    assert_eq!(world.state(1), COMPLETED);
}

/// The same, but no lists come. The agent's link is no reason to wait for ever.
#[test]
fn lists_of_an_agent_that_just_linked_are_waited_for_a_second() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    world.submit(1, vec![step(1)]);
    world.obey();
    let (_, minion, _) = world.places()[0].clone();
    world.lose_agent(&minion);
    world.pass(lease_expiry_bound_ms(HOLD_MS) - 100);
    world.say(&minion, FromAgent::Hello { agent: agent(&minion) });
    world.pass(900);
    assert!(world.orders.is_empty());
    world.pass(400);
    assert_matches!(world.orders[..], [ref order] if order.minion != minion);
}
