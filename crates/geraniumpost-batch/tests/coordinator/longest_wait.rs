//! How long the task that waits longest has waited, as gauges tell it.

use geraniumpost_batch::{
    CallerRequest, EndKind, FromAgent, JobId, LongestWait, MinionInfo, OrderOutcome, OrderVerb,
    StepSpec, lease_expiry_bound_ms,
};

use crate::world::{HOLD_MS, World, minion, standing, step, task};

/// How much later than it began a wait may be noticed, and its end too, in milliseconds.
const LOOK_MS: u64 = 500;

fn longest(world: &World) -> LongestWait {
    world.coordinator.longest_wait(world.now)
}

/// Checks that a wait began `since_ms` ago, or was noticed so much later.
#[track_caller]
fn assert_wait(wait_ms: u64, since_ms: u64) {
    assert!((since_ms - LOOK_MS..=since_ms).contains(&wait_ms), "{wait_ms} after {since_ms}");
}

/// Returns a world in which a standing task has been at work on m1 for a while.
fn at_work() -> World {
    let mut world = World::at_work(&["m1"], standing(1));
    world.look("m1");
    for _ in 0..3 {
        world.pass(2_000);
        world.beat("m1");
    }
    assert_eq!(longest(&world), LongestWait::default());
    world
}

/// Lets the task start on a minion that joins, and checks that its wait is over.
fn assert_over_on(mut world: World, minion: &str) {
    world.join(minion, |info| info);
    world.pass(200);
    world.obey();
    world.look(minion);
    world.pass(LOOK_MS);
    assert_eq!(longest(&world), LongestWait::default());
}

/// Lets the task's agent link, and checks that its wait is over, as it has run all the while.
#[track_caller]
fn assert_over_with_return(mut world: World) {
    world.join("m1", |info| info);
    world.pass(LOOK_MS);
    assert_eq!(longest(&world), LongestWait::default());
}

#[test]
fn nothing_waits_at_first() {
    assert_eq!(longest(&World::new()), LongestWait::default());
}

/// A standing task ends and finds no place. Its wait counts from its end, to the millisecond, until
/// it is at work again.
#[test]
fn wait_of_an_ended_task_grows_and_ends() {
    let mut world = at_work();
    world.join("m1", |info| MinionInfo { draining: true, sequence: 2, ..info });
    world.end(&"m1".into(), task(1, 0, 0), EndKind::Failed);
    world.look("m1");
    for passed_ms in (1_000..=6_000).step_by(1_000) {
        world.pass(1_000);
        assert_eq!(longest(&world), LongestWait { persistent_ms: passed_ms, other_ms: 0 });
    }
    assert_over_on(world, "m2");
}

/// An agent is cut off. Nobody knows whether its standing task runs on; its users may miss it from
/// then on, and also after its lease has lapsed and it waits for a place.
#[test]
fn wait_goes_on_from_a_lost_agent_to_a_new_run() {
    let mut world = at_work();
    world.lose_agent("m1");
    world.pass(3_000);
    assert_wait(longest(&world).persistent_ms, 3_000);
    world.pass(lease_expiry_bound_ms(HOLD_MS));
    assert!(world.notes.iter().any(|line| line.contains("event=lease_expired")));
    assert_wait(longest(&world).persistent_ms, 3_000 + lease_expiry_bound_ms(HOLD_MS));
    assert_over_on(world, "m2");
}

/// The agent comes back, and its task has run all the while.
#[test]
fn wait_ends_with_the_agents_return() {
    let mut world = at_work();
    world.lose_agent("m1");
    world.pass(2_000);
    assert_wait(longest(&world).persistent_ms, 2_000);
    assert_over_with_return(world);
}

/// A minion does not answer its agent. Its standing task may be gone.
#[test]
fn wait_counts_on_a_silent_minion() {
    let mut world = at_work();
    world.beat_without_answer("m1");
    world.pass(1_500);
    assert_wait(longest(&world).persistent_ms, 1_500);
}

/// A successor knows nothing of runs whose agents have not linked: they count from its takeover.
#[test]
fn wait_counts_from_the_takeover() {
    let mut world = at_work();
    world.take_over();
    world.pass(2_000);
    assert_wait(longest(&world).persistent_ms, 2_000);
    assert_over_with_return(world);
}

/// The minion takes the start order and refuses it again and again: the task is placed each time, and
/// down all the while.
#[test]
fn refused_starts_do_not_end_the_wait() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![standing(1)]);
    for _ in 0..40 {
        while let Some(order) = world.orders.pop() {
            world.result(&order, OrderVerb::Start, OrderOutcome::NoCapacity);
        }
        world.pass(100);
    }
    assert_wait(longest(&world).persistent_ms, 4_000);
}

/// The store leaves writes without an answer, so that the start order cannot leave.
#[test]
fn wait_goes_on_while_a_placement_is_written() {
    let mut world = World::new().with_minions(&["m1"]);
    world.writes_pass = false;
    world.submit(1, vec![standing(1)]);
    world.pass(3_000);
    assert_wait(longest(&world).persistent_ms, 3_000);
    world.pass_writes();
    world.obey();
    world.look("m1");
    world.pass(LOOK_MS);
    assert_eq!(longest(&world), LongestWait::default());
}

/// A run that works well for a short while, between two looks, ends the wait before it.
#[test]
fn short_run_begins_a_new_wait() {
    let mut world = World::new();
    world.submit(1, vec![standing(1)]);
    world.pass(5_200);
    world.join("m1", |info| info);
    world.obey();
    world.look("m1");
    world.pass(100);
    world.end(&"m1".into(), task(1, 0, 0), EndKind::Failed);
    world.look("m1");
    assert_eq!(longest(&world).persistent_ms, 0);
}

/// A new incarnation answers beside the agent: what ran on the one before is down from then on.
#[test]
fn wait_counts_from_a_crash() {
    let mut world = at_work();
    world.say("m1", FromAgent::Minion(MinionInfo { draining: true, ..minion("m1-b") }));
    world.pass(700);
    assert_eq!(longest(&world).persistent_ms, 700);
}

/// The task that has waited longest counts, and one of a cancelled job does not.
#[test]
fn longest_wait_of_open_jobs_counts() {
    let mut world = World::new();
    world.submit(1, vec![standing(1)]);
    world.pass(3_000);
    world.submit(2, vec![standing(1)]);
    world.pass(3_000);
    assert_wait(longest(&world).persistent_ms, 6_000);
    world.ask(CallerRequest::Cancel(JobId(1)));
    assert_wait(longest(&world).persistent_ms, 3_000);
    world.ask(CallerRequest::Cancel(JobId(2)));
    assert_eq!(longest(&world), LongestWait::default());
}

/// Tasks that end are counted apart. Their wait counts from when their step last got a place, and a
/// step that waits for an earlier one does not wait for a place.
#[test]
fn other_tasks_are_counted_apart() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(20), StepSpec { after: vec![0], ..step(1) }]);
    world.obey();
    world.pass(3_000);
    world.beat("m1");
    assert_eq!(longest(&world).persistent_ms, 0);
    assert_wait(longest(&world).other_ms, 3_000);
    world.end_all(EndKind::Done);
    world.obey();
    world.pass(LOOK_MS);
    assert_eq!(longest(&world), LongestWait::default());
}
