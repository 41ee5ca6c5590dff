//! Work that fills left-over processors beside work that serves users.

use geraniumpost_batch::{Demand, OrderKind, StepSpec};

use crate::world::{World, standing, step, task};

fn serving() -> StepSpec {
    StepSpec { persistent: true, image: "kiosk".into(), latency_bound_ms: 100, ..step(1) }
}

fn filling(count: u32) -> StepSpec {
    let demand = Demand { milli_cpus: 4_000, memory_mb: 1_000, accelerators: 0 };
    StepSpec { best_effort: true, image: "logs".into(), demand, checkpoints: true, ..step(count) }
}

/// A serving task's tail stays over its bound beside filling work: users wait. Whatever the model
/// thinks, all that fills there stands still within two seconds, and none is added.
#[test]
fn filling_stands_still_beside_a_tail_that_stays_over_its_bound() {
    let mut world = World::at_work(&["m1"], serving());
    // A quiet tail shows that there is room for both.
    world.set_gauge(task(1, 0, 0), 25);
    world.look("m1");
    world.submit(2, vec![filling(2)]);
    world.obey();
    world.set_gauge(task(1, 0, 0), 150);
    for _ in 0..5 {
        world.pass(400);
        world.beat("m1");
        world.look("m1");
    }
    let last_paces = |index| {
        let paced = world.orders.iter().rev().find(|o| o.task == task(2, 0, index));
        paced.map(|order| order.kind.clone())
    };
    assert_eq!(last_paces(0), Some(OrderKind::Pace { percent: 0 }));
    assert_eq!(last_paces(1), Some(OrderKind::Pace { percent: 0 }));
    world.orders.clear();
    world.submit(3, vec![filling(1)]);
    assert!(world.orders.is_empty());
}

/// Filling work asks for no processors of its own, so that it fits beside others that it could
/// not run beside; its memory counts.
#[test]
fn filling_takes_memory_but_no_processors() {
    let mut world = World::at_work(&["m1"], step(8));
    let large = StepSpec {
        demand: Demand { milli_cpus: 16_000, memory_mb: 40_000, accelerators: 0 },
        ..filling(3)
    };
    world.submit(2, vec![large]);
    // Half of the processors are in use, so that it begins there only for want of anything better.
    world.pass(2_000);
    assert_eq!(world.orders.len(), 1);
}

/// A job is done when its slowest task is. A task that is bound to a crowded minion holds up all
/// others, so it waits for a place at speed, while others of its job are at work.
#[test]
fn filling_waits_for_a_place_at_speed() {
    let mut world = World::new().with_minions(&["m1"]);
    let wide = StepSpec {
        demand: Demand { milli_cpus: 12_000, memory_mb: 1_000, accelerators: 0 },
        ..filling(2)
    };
    world.submit(1, vec![wide]);
    assert_eq!(world.orders.len(), 1, "a second one would slow the first as well");
    world.obey();
    world.pass(3_000);
    assert!(world.orders.is_empty());
    world.join("m2", |info| info);
    assert_eq!(world.orders.len(), 1);
    assert_eq!(&*world.orders[0].minion, "m2");
}

/// No minion bears a job's tasks at speed, and most processors are unused. The job's users must not
/// wait for ever: its first task begins all the same, within two seconds.
#[test]
fn idle_job_begins_at_any_speed() {
    let mut world = World::at_work(&["m1"], step(8));
    let wide = StepSpec {
        demand: Demand { milli_cpus: 16_000, memory_mb: 1_000, accelerators: 0 },
        ..filling(2)
    };
    world.submit(2, vec![wide]);
    world.pass(1_500);
    assert!(world.orders.is_empty());
    world.pass(500);
    assert_eq!(world.orders.len(), 1);
    world.obey();
    world.pass(2_000);
    assert!(world.orders.is_empty(), "the second one waits for a better place");
}

/// The users of a serving task become more, and what fills beside it is told to stand still. Its own
/// users wait for as long as that lasts, so it moves at once to a minion that has room.
#[test]
fn task_that_stands_still_moves_at_once() {
    let mut world = World::at_work(&["m1"], serving());
    world.submit(2, vec![filling(1)]);
    world.obey();
    world.join("m2", |info| info);
    world.set_gauge(task(1, 0, 0), 150);
    for _ in 0..3 {
        world.pass(400);
        world.beat("m1");
        world.obey();
        world.look("m1");
        world.obey();
    }
    let places = world.places();
    assert!(places.iter().any(|(id, minion, _)| *id == task(2, 0, 0) && &**minion == "m2"));
}

/// Standing tasks never make room again. If they filled a minion, short urgent work would wait
/// behind them for ever.
#[test]
fn standing_tasks_leave_room_for_short_ones() {
    let mut world = World::at_work(&["m1"], standing(16));
    assert_eq!(world.places().len(), 15);
    world.submit(2, vec![step(1)]);
    assert_eq!(world.orders.len(), 1);
}

/// Lets one filling image come and go beside a serving one, whose tail rises and falls with it.
fn learn_that_logs_press(world: &mut World) {
    for round in 0..40 {
        let works = round % 2 == 0;
        world.set_gauge(task(2, 0, 0), if works { 4_000 } else { 0 });
        world.set_gauge(task(1, 0, 0), if works { 80 } else { 20 });
        world.pass(800);
        world.beat("m1");
        world.look("m1");
        world.orders.clear();
    }
}

/// Every coordinator learns which images disturb which, which takes seconds. In a rolling restart each
/// lasts no longer than that, so the next one must know what the last one knew, or users of serving
/// tasks wait all the while.
#[test]
fn successor_knows_what_presses() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![serving()]);
    world.submit(2, vec![filling(1)]);
    world.obey();
    learn_that_logs_press(&mut world);
    // Knowledge travels with the next write.
    world.submit(3, vec![step(1)]);
    assert!(world.knowledge.is_some());
    world.take_over();
    world.join("m1", |info| info);
    world.set_gauge(task(1, 0, 0), 30);
    world.look("m1");
    world.submit(4, vec![filling(3)]);
    let begun = world.orders.iter().filter(|order| order.task.job == geraniumpost_batch::JobId(4));
    assert_eq!(begun.count(), 0, "they would take the tail over its bound");
}

/// What lies in the store may be of another version, or damaged. It is refused as a whole.
#[test]
fn damaged_knowledge_is_refused() {
    assert!(geraniumpost_batch::InterferenceSnapshot::decode(&[0xff; 7]).is_err());
}
