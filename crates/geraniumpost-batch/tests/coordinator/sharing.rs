//! Who goes first and where, when filling and serving tasks of many images share few minions.

use geraniumpost_batch::{Demand, EndKind, JobId, Knowledge, LearntPair, StepSpec};
use geraniumpost_schema::Name;

use crate::world::{World, standing, step, task};

fn serving(image: &str, count: u32) -> StepSpec {
    StepSpec { image: image.into(), latency_bound_ms: 100, ..standing(count) }
}

fn filling(image: &str, count: u32) -> StepSpec {
    let demand = Demand { milli_cpus: 4_000, memory_mb: 1_000, accelerators: 0 };
    StepSpec { fills: true, image: image.into(), demand, checkpoints: true, ..step(count) }
}

/// Returns a world in which this is known: what each filling image adds to the utilization of each serving
/// one.
fn knowing(slopes: &[(&str, &str, f64)]) -> World {
    let pair = |(serving, filling, slope): &(&str, &str, f64)| LearntPair {
        serving: Name::from(*serving),
        filling: Name::from(*filling),
        slope: *slope,
        deviation: 0.05,
    };
    let pairs = slopes.iter().map(pair).collect();
    let mut world = World::new();
    world.knowledge = Some(Knowledge { pairs, quiet: Vec::new() }.encode());
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

/// Returns a world with a minion whose serving task is at about half of its bound.
fn half_loaded() -> World {
    let mut world = World::at_work(&["m1"], serving("kiosk", 1));
    world.set_gauge(task(1, 0, 0), 45);
    for _ in 0..8 {
        world.pass(400);
        world.beat("m1");
        world.look("m1");
    }
    world
}

fn small_filling(image: &str, count: u32) -> StepSpec {
    let demand = Demand { milli_cpus: 800, memory_mb: 1_000, accelerators: 0 };
    StepSpec { demand, ..filling(image, count) }
}

/// A wide step of an image comes whose effect on a serving one nobody knows. Were it judged by the mean of all
/// pairs, all its tasks would begin there at once; beside one that disturbs hard, users would wait for seconds
/// until the next looks have shown it.
#[test]
fn few_tasks_of_an_unknown_image_begin_before_it_is_known() {
    let mut world = half_loaded();
    world.submit(2, vec![small_filling("logs", 6)]);
    let begun = world.orders.len();
    assert!((1..=2).contains(&begun), "{begun} begin at once");
    world.obey();
    for _ in 0..20 {
        // The serving task shows that what fills beside it does not disturb it.
        let at_work = world.places().len() as u32 - 1;
        (0..at_work).for_each(|index| world.set_gauge(task(2, 0, index), 800));
        world.pass(400);
        world.beat("m1");
        world.look("m1");
        world.obey();
    }
    assert_eq!(world.places().len(), 7, "it is known to be harmless");
}

/// No minion surely bears the tasks of an image that nobody knows, as there is little room. They begin soon all
/// the same where they probably do no harm: their users would otherwise wait beside unused processors, and nothing
/// would ever be learnt of the image.
#[test]
fn task_waits_only_a_moment_for_a_place_that_surely_bears_it() {
    let mut world = half_loaded();
    let demand = Demand { milli_cpus: 3_200, memory_mb: 1_000, accelerators: 0 };
    world.submit(2, vec![StepSpec { demand, ..filling("logs", 1) }]);
    world.pass(400);
    assert!(world.orders.is_empty());
    world.pass(400);
    assert_eq!(world.orders.len(), 1);
}

/// It is known how far an image disturbs one of two serving images, and nothing is known of it beside the other. It
/// may be of the hard kind there, so it is not tried while it has a place that surely bears it.
#[test]
fn known_place_goes_before_an_unknown_one() {
    let mut world = knowing(&[("kiosk", "logs", 1.0)]);
    for (job, (minion, image, label)) in
        [("m1", "gate", "a"), ("m2", "kiosk", "b")].iter().enumerate()
    {
        world.join(minion, |mut info| {
            info.labels.push((*label).into());
            info
        });
        let spec = StepSpec { required_label: (*label).into(), ..serving(image, 1) };
        world.submit(job as u64 + 1, vec![spec]);
        world.obey();
        world.set_gauge(task(job as u64 + 1, 0, 0), 40);
        world.look(minion);
    }
    world.submit(3, vec![small_filling("logs", 1)]);
    let order = world.orders.iter().find(|order| order.task.job == JobId(3));
    assert_eq!(order.map(|order| &*order.minion), Some("m2"));
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
