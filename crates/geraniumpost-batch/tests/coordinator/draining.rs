//! Draining and planned departure of minions, also across takeovers.

use assert_matches::assert_matches;
use geraniumpost_batch::{FromAgent, MinionInfo, Order, OrderKind, StepSpec};

use crate::cluster::{Cluster, agent_name, minion_info, persistent_step, step, task};

/// Returns the description of a minion that drains and departs in `remaining_ms`.
fn draining_info(name: &str, remaining_ms: u64) -> MinionInfo {
    let mut info = minion_info(name);
    info.draining = true;
    info.remaining_ms = Some(remaining_ms);
    info.sequence = 2;
    info
}

fn stop_orders(orders: &[Order]) -> Vec<&Order> {
    orders.iter().filter(|order| order.kind == OrderKind::Stop).collect()
}

/// A minion is draining when the coordinator changes, and its agent links to the successor before
/// any other minion has been polled. If the successor searched for another minion only once, a
/// persistent task would stay until the minion departs, and be down until the loss is detected.
#[test]
fn tasks_of_a_draining_minion_move_once_a_successor_knows_other_minions() {
    let mut cluster = Cluster::with_running_job(&["m1"], persistent_step(1));
    cluster.send("m1", FromAgent::Minion(draining_info("m1", 10_000)));
    cluster.take_over();
    cluster.join("m1", |_| draining_info("m1", 10_000));
    assert!(stop_orders(&cluster.orders).is_empty());
    cluster.join("m2", |info| info);
    cluster.advance(300);
    assert_matches!(stop_orders(&cluster.orders)[..], [stop] if stop.task == task(1, 0, 0));
}

/// A minion drains while no other minion has capacity. As soon as another minion has capacity,
/// the tasks move there, before the draining minion departs.
#[test]
fn tasks_of_a_draining_minion_move_when_capacity_appears() {
    let mut cluster = Cluster::with_running_job(&["m1"], persistent_step(1));
    cluster.send("m1", FromAgent::Minion(draining_info("m1", 10_000)));
    cluster.advance(1_000);
    assert!(stop_orders(&cluster.orders).is_empty());
    cluster.join("m2", |info| info);
    cluster.advance(300);
    assert_matches!(stop_orders(&cluster.orders)[..], [stop] if &*stop.minion == "m1");
}

/// According to its estimate, a task would end before its minion departs, but the task runs more
/// slowly. It moves with its checkpoint once it can no longer end in time.
#[test]
fn task_that_falls_behind_on_a_draining_minion_is_moved() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let long = StepSpec { estimate_ms: 3_000, checkpoints: true, ..step(1) };
    cluster.submit(1, vec![long]);
    cluster.carry_out_orders();
    cluster.default_percent = 1;
    cluster.poll("m1");
    cluster.join("m2", |info| info);
    cluster.send("m1", FromAgent::Minion(draining_info("m1", 6_000)));
    assert!(stop_orders(&cluster.orders).is_empty());
    for _ in 0..10 {
        cluster.default_percent += 2;
        cluster.advance(400);
        cluster.heartbeat("m1");
        cluster.heartbeat("m2");
        cluster.poll("m1");
    }
    assert_matches!(stop_orders(&cluster.orders).first(), Some(stop) if &*stop.minion == "m1");
}

/// The coordinator checks draining minions periodically. Tasks with a pending stop order are not
/// stopped again.
#[test]
fn tasks_of_a_draining_minion_are_stopped_once() {
    let mut cluster = Cluster::with_running_job(&["m1", "m2"], persistent_step(2));
    let draining_minion = cluster.running_tasks()[0].1.clone();
    cluster.send(&draining_minion, FromAgent::Minion(draining_info(&draining_minion, 10_000)));
    let first = stop_orders(&cluster.orders).len();
    cluster.advance(1_000);
    assert_eq!(stop_orders(&cluster.orders).len(), first);
    assert_eq!(cluster.orders.iter().filter(|order| order.minion != draining_minion).count(), 0);
}

/// A coordinator is lost before the write of a minion's departure is confirmed. The agent still
/// holds the departure and reports it to the successor, so that the task restarts at once instead
/// of after the expiry of the departed minion's lease.
#[test]
fn departure_is_settled_only_after_it_is_written() {
    let mut cluster = Cluster::with_running_job(&["m1"], persistent_step(1));
    cluster.confirm_writes = false;
    let departure =
        || FromAgent::MinionTerminated { minion: "m1".into(), crashed: false, replaced_by: None };
    cluster.send("m1", departure());
    assert!(cluster.settled_departures.is_empty());
    cluster.confirm_writes = true;
    cluster.take_over();
    cluster.join("m2", |info| info);
    cluster.send("m1", FromAgent::Hello { agent: agent_name("m1") });
    cluster.send("m1", departure());
    assert_eq!(cluster.settled_departures, ["m1".into()]);
    cluster.advance(300);
    assert_matches!(cluster.orders[..], [ref order] if &*order.minion == "m2" && order.run == 2);
}

/// An agent reports a departure again if the response was lost with a link. No run is ended twice,
/// and the agent gets another response.
#[test]
fn repeated_departure_changes_nothing() {
    let mut cluster = Cluster::with_running_job(&["m1", "m2"], persistent_step(1));
    let (_, departed, _) = cluster.running_tasks()[0].clone();
    for _ in 0..3 {
        cluster.send(
            &departed,
            FromAgent::MinionTerminated {
                minion: departed.clone(),
                crashed: false,
                replaced_by: None,
            },
        );
        cluster.advance(300);
    }
    assert_eq!(cluster.settled_departures.len(), 3);
    assert_matches!(cluster.orders[..], [ref order] if order.minion != departed && order.run == 2);
}
