//! Who goes first and where, when filling and serving tasks of many images share few minions.

use geraniumpost_batch::{
    Demand, EndKind, InterferencePair, InterferenceSnapshot, JobId, StepSpec,
};
use geraniumpost_schema::Name;

use crate::world::{World, standing, step, task};

fn serving(image: &str, count: u32) -> StepSpec {
    StepSpec { image: image.into(), latency_bound_ms: 100, ..standing(count) }
}

fn filling(image: &str, count: u32) -> StepSpec {
    let demand = Demand { milli_cpus: 4_000, memory_mb: 1_000, accelerators: 0 };
    StepSpec { best_effort: true, image: image.into(), demand, checkpoints: true, ..step(count) }
}

/// Returns a world in which this is known: what each filling image adds to the utilization of each serving
/// one.
fn knowing(slopes: &[(&str, &str, f64)]) -> World {
    let pair = |(serving, filling, slope): &(&str, &str, f64)| InterferencePair {
        serving: Name::from(*serving),
        best_effort: Name::from(*filling),
        slope: *slope,
        deviation: 0.05,
    };
    let pairs = slopes.iter().map(pair).collect();
    let mut world = World::new();
    world.knowledge = Some(InterferenceSnapshot { pairs, idle_tails: Vec::new() }.encode());
    world.take_over();
    world
}

/// One of three tasks of a serving step shows a tail several times that of the others for a moment, by
/// nobody's doing. Were the highest tail to count, what fills beside them would be slowed down and moved,
/// and its users would wait for nothing.
#[test]
fn one_high_tail_of_three_slows_nobody() {
    let mut world = World::at_work(&["m1"], serving("kiosk", 3));
    let gauges = |world: &mut World, tails: [u32; 3]| {
        for (index, tail) in tails.into_iter().enumerate() {
            world.set_gauge(task(1, 0, index as u32), tail);
        }
        world.pass(400);
        world.beat("m1");
        world.look("m1");
    };
    gauges(&mut world, [30, 30, 30]);
    world.submit(2, vec![filling("logs", 1)]);
    world.obey();
    world.set_gauge(task(2, 0, 0), 4_000);
    for _ in 0..5 {
        gauges(&mut world, [30, 30, 30]);
    }
    world.orders.clear();
    gauges(&mut world, [30, 98, 30]);
    gauges(&mut world, [30, 30, 30]);
    assert!(world.orders.is_empty(), "{:?}", world.orders);
}

/// Two filling images have room on one minion, and only one of them on the other. Were the first to take
/// any place at full speed, the second one would find none and its job wait.
#[test]
fn images_leave_room_to_those_that_have_no_other_place() {
    let mut world = knowing(&[
        ("kiosk", "logs", 0.0),
        ("gate", "logs", 0.7),
        ("kiosk", "study", 3.0),
        ("gate", "study", 0.7),
    ]);
    world.join("m1", |info| info);
    world.submit(1, vec![serving("gate", 1)]);
    world.obey();
    world.join("m2", |mut info| {
        info.labels.push("b".into());
        info
    });
    world.submit(2, vec![StepSpec { required_label: "b".into(), ..serving("kiosk", 1) }]);
    world.obey();
    for (job, minion) in [(1, "m1"), (2, "m2")] {
        assert!(world.places().iter().any(|(id, at, _)| id.job == JobId(job) && &**at == minion));
        world.set_gauge(task(job, 0, 0), 40);
        world.look(minion);
    }
    world.submit(3, vec![filling("logs", 1)]);
    world.submit(4, vec![filling("study", 1)]);
    let place = |job| {
        let order = world.orders.iter().find(|order| order.task.job == JobId(job));
        order.map(|order| order.minion.to_string())
    };
    assert_eq!(place(3).as_deref(), Some("m2"));
    assert_eq!(place(4).as_deref(), Some("m1"));
}

/// More is asked for than fits. Were the jobs to go on by the ends of their objectives, all would be done a
/// little too late; the smallest first lets most callers have theirs in time.
#[test]
fn least_work_left_goes_first() {
    let mut world = World::at_work(&["m1"], step(16));
    world.submit(2, vec![step(8)]);
    world.submit(3, vec![step(2)]);
    for index in 0..2 {
        world.end(&"m1".into(), task(1, 0, index), EndKind::Done);
    }
    world.look("m1");
    let begun: Vec<JobId> = world.orders.iter().map(|order| order.task.job).collect();
    assert_eq!(begun, [JobId(3), JobId(3)]);
}

/// A job that lasts never makes room again, and takes little harm from a moment's wait. It does not keep
/// short jobs of the same urgency from the room that has just become free.
#[test]
fn short_jobs_go_before_those_that_last() {
    let mut world = World::at_work(&["m1"], step(16));
    world.submit(2, vec![standing(1)]);
    world.submit(3, vec![step(2)]);
    for index in 0..2 {
        world.end(&"m1".into(), task(1, 0, index), EndKind::Done);
    }
    world.look("m1");
    let begun: Vec<JobId> = world.orders.iter().map(|order| order.task.job).collect();
    assert_eq!(begun, [JobId(3), JobId(3)]);
}
