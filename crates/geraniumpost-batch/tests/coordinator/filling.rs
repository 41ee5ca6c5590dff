//! Work that fills left-over processors beside work that serves users.

use geraniumpost_batch::{Demand, OrderKind, StepSpec};

use crate::world::{World, step, task};

fn serving() -> StepSpec {
    StepSpec { persistent: true, image: "kiosk".into(), latency_bound_ms: 100, ..step(1) }
}

fn filling(count: u32) -> StepSpec {
    let demand = Demand { milli_cpus: 4_000, memory_mb: 1_000, accelerators: 0 };
    StepSpec { fills: true, image: "logs".into(), demand, checkpoints: true, ..step(count) }
}

/// A serving task's tail stays over its bound beside filling work: users wait. Whatever the model
/// thinks, all that fills there stands still within two seconds, and none is added.
#[test]
fn filling_stands_still_beside_a_tail_that_stays_over_its_bound() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![serving()]);
    world.obey();
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
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(8)]);
    world.obey();
    let large = StepSpec {
        demand: Demand { milli_cpus: 16_000, memory_mb: 40_000, accelerators: 0 },
        ..filling(3)
    };
    world.submit(2, vec![large]);
    assert_eq!(world.orders.len(), 1);
}

/// Standing tasks never make room again. If they filled a minion, short urgent work would wait
/// behind them for ever.
#[test]
fn standing_tasks_leave_room_for_short_ones() {
    let mut world = World::new().with_minions(&["m1"]);
    let standing = StepSpec { persistent: true, ..step(16) };
    world.submit(1, vec![standing]);
    world.obey();
    assert_eq!(world.places().len(), 15);
    world.submit(2, vec![step(1)]);
    assert_eq!(world.orders.len(), 1);
}
