//! Minions whose capacity shrinks and grows while they run. A minion may not guard its capacity
//! itself, so that each start that no longer fits would bring the minion over it.

use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_batch::{
    Demand, EndKind, FromAgent, MinionInfo, Order, OrderKind, OrderKindTag, OrderOutcome, StepSpec,
    TaskId,
};
use geraniumpost_schema::Name;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cluster::{COMPLETED, Cluster, agent_name, minion_info, persistent_step, step};

/// Returns a step of `count` tasks of eight processors each, of which a minion fits two.
fn large_step(count: u32) -> StepSpec {
    StepSpec {
        demand: Demand { milli_cpus: 8_000, memory_mb: 1_000, accelerators: 0 },
        ..step(count)
    }
}

/// Reports another capacity of a minion.
fn set_milli_cpus(cluster: &mut Cluster, minion: &str, milli_cpus: i64) {
    cluster.send(minion, FromAgent::Minion(info_with_milli_cpus(minion, milli_cpus)));
}

fn info_with_milli_cpus(minion: &str, milli_cpus: i64) -> MinionInfo {
    let info = MinionInfo { sequence: 2, ..minion_info(minion) };
    MinionInfo { capacity: Demand { milli_cpus, ..info.capacity }, ..info }
}

/// Takes the orders that were sent, and returns the start orders among them for a minion.
fn take_starts(cluster: &mut Cluster, minion: &str) -> Vec<Order> {
    let orders = std::mem::take(&mut cluster.orders);
    let is_start = |order: &Order| matches!(order.kind, OrderKind::Start { .. });
    orders.into_iter().filter(|order| is_start(order) && &*order.minion == minion).collect()
}

/// Two placements are being committed when their minion shrinks so that only one still fits. The
/// other start would bring it over its capacity.
#[test]
fn committed_placement_that_no_longer_fits_is_not_started() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.confirm_writes = false;
    cluster.submit(1, vec![large_step(2)]);
    set_milli_cpus(&mut cluster, "m1", 8_000);
    cluster.confirm_pending_writes();
    cluster.advance(3_000);
    let starts = take_starts(&mut cluster, "m1");
    assert!(starts.iter().all(|order| order.task == starts[0].task), "{starts:?}");
    assert!(!starts.is_empty(), "one of the tasks still fits");
    cluster.join("m2", |info| info);
    cluster.advance(500);
    let elsewhere = take_starts(&mut cluster, "m2");
    assert_eq!(elsewhere.len(), 1, "the other one starts where it fits");
    assert_ne!(elsewhere[0].task, starts[0].task);
}

/// A start has no response, and its minion shrinks before the order would be repeated. If no copy
/// was carried out, a repeated one would bring the minion over its capacity.
#[test]
fn unanswered_start_that_no_longer_fits_is_not_repeated() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![large_step(2)]);
    let orders = std::mem::take(&mut cluster.orders);
    cluster.carry_out(orders[0].clone());
    cluster.report_result(&orders[1], OrderKindTag::Start, OrderOutcome::NoResponse);
    set_milli_cpus(&mut cluster, "m1", 8_000);
    for _ in 0..10 {
        cluster.advance(400);
        cluster.poll("m1");
        assert_eq!(take_starts(&mut cluster, "m1"), [], "only one of the tasks fits");
    }
}

/// As above, but the result of the start does not arrive at all.
#[test]
fn start_without_a_result_is_not_repeated_after_a_shrink() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![large_step(2)]);
    let orders = std::mem::take(&mut cluster.orders);
    cluster.carry_out(orders[0].clone());
    set_milli_cpus(&mut cluster, "m1", 8_000);
    for _ in 0..20 {
        cluster.advance(400);
        cluster.poll("m1");
        assert_eq!(take_starts(&mut cluster, "m1"), [], "only one of the tasks fits");
    }
}

/// A run that has started may be over the capacity after a shrink. It goes on, and a repeated poll
/// or a takeover changes nothing.
#[test]
fn running_tasks_go_on_after_a_shrink() {
    let mut cluster = Cluster::with_running_job(&["m1"], large_step(2));
    set_milli_cpus(&mut cluster, "m1", 4_000);
    cluster.advance(1_000);
    cluster.poll("m1");
    cluster.take_over();
    cluster.join("m1", |_| info_with_milli_cpus("m1", 4_000));
    cluster.advance(1_000);
    assert_eq!(cluster.orders, []);
    cluster.end_all_runs(EndKind::Done);
    assert_eq!(cluster.job_state(1), COMPLETED);
}

/// What is being stopped still uses its capacity until its end is listed.
#[test]
fn stopping_task_still_counts_after_a_shrink() {
    let mut cluster = Cluster::with_running_job(&["m1"], large_step(2));
    cluster.request(geraniumpost_batch::CallerRequest::Cancel(geraniumpost_batch::JobId(1)));
    let stops = std::mem::take(&mut cluster.orders);
    set_milli_cpus(&mut cluster, "m1", 12_000);
    cluster.submit(2, vec![large_step(1)]);
    cluster.advance(1_000);
    assert_eq!(take_starts(&mut cluster, "m1"), [], "both tasks are still running");
    cluster.carry_out(stops[0].clone());
    cluster.poll("m1");
    cluster.advance(500);
    assert_eq!(take_starts(&mut cluster, "m1"), [], "one of the tasks is still running");
    cluster.carry_out(stops[1].clone());
    cluster.poll("m1");
    assert_eq!(take_starts(&mut cluster, "m1").len(), 1);
}

/// Waiting tasks start as soon as a larger capacity is reported.
#[test]
fn waiting_tasks_start_when_the_capacity_grows() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    set_milli_cpus(&mut cluster, "m1", 0);
    cluster.submit(1, vec![large_step(2)]);
    cluster.advance(1_000);
    assert_eq!(cluster.orders, []);
    set_milli_cpus(&mut cluster, "m1", 8_000);
    assert_eq!(take_starts(&mut cluster, "m1").len(), 1);
    set_milli_cpus(&mut cluster, "m1", 16_000);
    assert_eq!(take_starts(&mut cluster, "m1").len(), 1);
}

/// A successor knows the placed runs from the records, and the capacity only from the report. It
/// repeats no start that no longer fits, and places nothing beside what is there.
#[test]
fn successor_uses_the_reported_capacity() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![large_step(2)]);
    let orders = std::mem::take(&mut cluster.orders);
    cluster.carry_out(orders[0].clone());
    cluster.submit(2, vec![large_step(1)]);
    cluster.take_over();
    cluster.join("m1", |_| info_with_milli_cpus("m1", 8_000));
    for _ in 0..10 {
        cluster.advance(400);
        cluster.poll("m1");
        assert_eq!(take_starts(&mut cluster, "m1"), [], "only the running task fits");
    }
}

/// A shrink below what runs leaves a negative rest. The reserve for short tasks, the room for
/// best-effort tasks and the racks' capacities are computed from it.
#[test]
fn negative_rest_attracts_nothing() {
    let mut cluster = Cluster::with_running_job(&["m1"], large_step(2));
    cluster.join("m2", |info| info);
    let demand = Demand { milli_cpus: 4_000, memory_mb: 1_000, accelerators: 0 };
    let best_effort = StepSpec {
        best_effort: true,
        image: "logs".into(),
        demand,
        estimate_ms: 60_000,
        ..step(4)
    };
    for milli_cpus in [4_000, 0] {
        set_milli_cpus(&mut cluster, "m1", milli_cpus);
        let job = 10 + milli_cpus as u64;
        cluster.submit(job, vec![StepSpec { count: 2, ..best_effort.clone() }]);
        cluster.submit(job + 1, vec![persistent_step(1)]);
        cluster.submit(job + 2, vec![StepSpec { same_rack: true, ..step(2) }]);
        assert_eq!(take_starts(&mut cluster, "m1"), []);
        cluster.send("m2", FromAgent::Hello { agent: agent_name("m2") });
        cluster.heartbeat("m2");
        cluster.poll("m2");
    }
}

/// A gang is being committed when its minion shrinks. Its members cannot work without each other,
/// so that none may be left there.
#[test]
fn gang_that_no_longer_fits_is_withdrawn() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.confirm_writes = false;
    cluster.submit(1, vec![StepSpec { gang: true, ..large_step(2) }]);
    set_milli_cpus(&mut cluster, "m1", 8_000);
    cluster.confirm_pending_writes();
    cluster.carry_out_orders();
    for _ in 0..5 {
        cluster.advance(400);
        cluster.poll("m1");
        cluster.carry_out_orders();
    }
    assert_eq!(cluster.running_tasks(), []);
    set_milli_cpus(&mut cluster, "m1", 16_000);
    cluster.carry_out_orders();
    assert_eq!(cluster.running_tasks().len(), 2, "both start once there is room");
}

/// Capacities change at random while orders get no response, are carried out late or not at all,
/// and stops take their time. Whatever the order of events, no start is sent that does not fit
/// beside what may exist on its minion.
#[test]
fn no_start_exceeds_a_changing_capacity() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let minions = ["m1", "m2", "m3"];
        let mut cluster = Cluster::new().with_minions(&minions);
        let mut capacities = BTreeMap::from(minions.map(|minion| (Name::from(minion), 16_000)));
        let mut delayed: Vec<Order> = Vec::new();
        let mut barred = BTreeSet::new();
        for job in 0..12 {
            let demand = Demand { milli_cpus: 4_000, memory_mb: 100, accelerators: 0 };
            cluster.submit(job, vec![StepSpec { demand, ..step(2) }]);
        }
        for _ in 0..150 {
            cluster.advance(100);
            check_new_starts(&mut cluster, &capacities, &mut delayed, seed);
            if rng.random_bool(0.1) {
                let minion = minions[rng.random_range(0..minions.len())];
                let milli_cpus = rng.random_range(0..5) * 4_000;
                set_milli_cpus(&mut cluster, minion, milli_cpus);
                capacities.insert(minion.into(), milli_cpus);
                check_new_starts(&mut cluster, &capacities, &mut delayed, seed);
            }
            for order in std::mem::take(&mut delayed) {
                let is_start = matches!(order.kind, OrderKind::Start { .. });
                let run = (order.task, order.run);
                if is_start && barred.contains(&run) {
                    cluster.report_result(&order, OrderKindTag::Start, OrderOutcome::RunIsOver);
                } else if rng.random_bool(0.3) {
                    delayed.push(order);
                } else if is_start && rng.random_bool(0.2) {
                    cluster.report_result(&order, OrderKindTag::Start, OrderOutcome::NoResponse);
                } else {
                    if !is_start {
                        barred.insert(run);
                    }
                    cluster.carry_out(order);
                }
            }
            for (task, minion, run) in cluster.running_tasks() {
                if rng.random_bool(0.02) {
                    barred.insert((task, run));
                    cluster.end_run(&minion, task, EndKind::Done);
                }
            }
            for minion in minions {
                if rng.random_bool(0.3) {
                    cluster.poll(minion);
                }
            }
            check_new_starts(&mut cluster, &capacities, &mut delayed, seed);
        }
    }
}

/// Checks that the starts among the new orders fit beside the runs and the delayed starts on their
/// minions, and adds the new orders to the delayed ones.
fn check_new_starts(
    cluster: &mut Cluster,
    capacities: &BTreeMap<Name, i64>,
    delayed: &mut Vec<Order>,
    seed: u64,
) {
    let is_start = |order: &&Order| matches!(order.kind, OrderKind::Start { .. });
    for (minion, milli_cpus) in capacities {
        let starts = |orders: &[Order]| -> BTreeSet<TaskId> {
            let starts = orders.iter().filter(is_start);
            starts.filter(|order| order.minion == *minion).map(|order| order.task).collect()
        };
        let new = starts(&cluster.orders);
        let mut all = &new | &starts(delayed);
        all.extend(cluster.running.get(minion).into_iter().flat_map(BTreeMap::keys));
        let fits = all.iter().map(|_| 4_000).sum::<i64>() <= *milli_cpus;
        assert!(new.is_empty() || fits, "seed {seed}: {new:?} sent to {minion} beside {all:?}");
    }
    delayed.append(&mut cluster.orders);
}
