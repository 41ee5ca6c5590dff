//! Regression tests of takeovers, departures, pace orders and lost results.

use geraniumpost_batch::{
    Demand, EndKind, FromAgent, OrderKind, OrderKindTag, OrderOutcome, StepSpec,
};

use crate::cluster::{Cluster, LEASE_MS, SILENT_COORDINATOR_ADDRESS, agent_name, step, task};

/// An isolated coordinator extends the lease of the only agent that reaches it for seven seconds.
/// Its successor is then restarted, and the isolated coordinator takes over again. Its earlier term
/// has ended, but the lease extended during that term is still valid: if that lease were ignored,
/// the agent's task would restart elsewhere while it runs.
#[test]
fn returning_coordinator_waits_for_leases_of_its_earlier_term() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let mut persistent = step(1);
    persistent.persistent = true;
    cluster.submit(1, vec![persistent]);
    cluster.carry_out_orders();
    assert_eq!(cluster.running_tasks().len(), 1);
    cluster.take_over_from_silent_coordinator();
    cluster.join("m2", |info| info);
    cluster.advance(7_000);
    assert!(cluster.orders.is_empty(), "the successor must wait for the silent coordinator");
    let predecessor_leases = cluster.coordinator.leases_for_successor(cluster.now);
    assert!(predecessor_leases.unreached.contains_key(&agent_name("m1")));
    // The silent coordinator may have extended the lease just now, so a full lease may remain.
    cluster.take_over_with(&predecessor_leases.after_takeover(
        None,
        SILENT_COORDINATOR_ADDRESS,
        LEASE_MS,
    ));
    cluster.join("m2", |info| info);
    cluster.advance(LEASE_MS);
    assert!(
        cluster.orders.is_empty(),
        "restarted elsewhere under a valid lease: {:?}",
        cluster.orders
    );
}

/// A task of a draining minion is stopped, and the write of its end is not confirmed. If the
/// minion's departure were settled at once, the VM would be removed. If the coordinator and the
/// write were then lost, its successor would find the task running on the departed minion, with no
/// agent to report otherwise, and the task would be down for a whole lease.
#[test]
fn departure_is_not_settled_before_earlier_ends_are_recorded() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let mut persistent = step(1);
    persistent.persistent = true;
    cluster.submit(1, vec![persistent]);
    cluster.carry_out_orders();
    let (task, minion, _) = cluster.running_tasks()[0].clone();
    cluster.join("m1", |mut info| {
        info.draining = true;
        info.sequence = 2;
        info
    });
    cluster.confirm_writes = false;
    cluster.end_run(&minion, task, EndKind::Stopped);
    cluster.poll("m1");
    cluster.send(
        "m1",
        FromAgent::MinionTerminated { minion: minion.clone(), crashed: false, replaced_by: None },
    );
    assert!(
        cluster.settled_departures.is_empty(),
        "the stored record still has a run on this minion"
    );
    cluster.confirm_pending_writes();
    assert_eq!(cluster.settled_departures, [minion]);
}

/// The lease of a disconnected agent expires while the store is unavailable, so the ends of its
/// minion's tasks are not stored. The agent then links again and reports that its minion has
/// departed. The departure must not be settled before those ends are written.
#[test]
fn departure_is_not_settled_before_a_lease_expiry_is_recorded() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(1)]);
    cluster.carry_out_orders();
    cluster.disconnect_agent("m1");
    cluster.confirm_writes = false;
    cluster.advance(LEASE_MS + 1_000);
    cluster.send("m1", FromAgent::Hello { agent: agent_name("m1") });
    cluster.send(
        "m1",
        FromAgent::MinionTerminated { minion: "m1".into(), crashed: false, replaced_by: None },
    );
    assert!(
        cluster.settled_departures.is_empty(),
        "the stored record still has a run on this minion"
    );
    cluster.confirm_pending_writes();
    assert_eq!(cluster.settled_departures, ["m1".into()]);
}

/// Returns a cluster with a serving task above its latency bound and a best-effort task on the same
/// minion.
fn cluster_with_overloaded_serving_task() -> Cluster {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let serving =
        StepSpec { persistent: true, image: "kiosk".into(), latency_bound_ms: 100, ..step(1) };
    cluster.submit(1, vec![serving]);
    cluster.carry_out_orders();
    // A low tail latency shows that the minion has capacity for both.
    cluster.set_measurement(task(1, 0, 0), 25);
    cluster.poll("m1");
    let demand = Demand { milli_cpus: 4_000, memory_mb: 1_000, accelerators: 0 };
    let estimate_ms = 60_000;
    let best_effort =
        StepSpec { best_effort: true, image: "logs".into(), demand, estimate_ms, ..step(1) };
    cluster.submit(2, vec![best_effort]);
    cluster.carry_out_orders();
    cluster.set_measurement(task(1, 0, 0), 150);
    cluster
}

/// Polls the minion every 0.4 s, while the progress of the best-effort task rises from `from`
/// percent to `to` percent.
fn poll_with_progress(cluster: &mut Cluster, from: u8, to: u8) {
    for percent in from..to {
        cluster.advance(400);
        cluster.task_percent.insert(task(2, 0, 0), percent);
        cluster.poll("m1");
    }
}

/// The order to pause a task is lost, and the agent reports it as unanswered. If the order counted
/// as carried out, it would never be repeated: the best-effort task would run at full speed, and
/// keep the serving task above its latency bound.
#[test]
fn unanswered_pace_order_is_repeated() {
    let mut cluster = cluster_with_overloaded_serving_task();
    poll_with_progress(&mut cluster, 1, 10);
    let unanswered: Vec<_> = std::mem::take(&mut cluster.orders);
    assert_eq!(unanswered.last().map(|o| o.kind.clone()), Some(OrderKind::Pace { percent: 0 }));
    for order in unanswered {
        cluster.report_result(&order, OrderKindTag::Pace, OrderOutcome::NoResponse);
    }
    poll_with_progress(&mut cluster, 10, 20);
    assert!(cluster.orders.iter().any(|o| o.kind == OrderKind::Pace { percent: 0 }));
}

/// A best-effort task runs at a reduced pace when the coordinator is lost, and the serving task on
/// its minion is below its latency bound soon after. A successor that assumed full pace would send
/// no order, and the task would run slowly to its end although processors are idle.
#[test]
fn successor_restores_full_pace_when_possible() {
    let mut cluster = cluster_with_overloaded_serving_task();
    for percent in 1..10 {
        poll_with_progress(&mut cluster, percent, percent + 1);
        cluster.carry_out_orders();
    }
    assert_eq!(cluster.paces.get(&task(2, 0, 0)), Some(&0));
    cluster.paces.insert(task(2, 0, 0), 40);
    cluster.set_measurement(task(1, 0, 0), 20);
    cluster.take_over();
    cluster.join("m1", |info| info);
    for percent in 10..40 {
        poll_with_progress(&mut cluster, percent, percent + 1);
        cluster.carry_out_orders();
    }
    assert_eq!(cluster.paces.get(&task(2, 0, 0)), Some(&100), "{:?}", cluster.running_tasks());
}

/// The end of a task is written while its agent has no link, so the acknowledgement is not sent. It
/// must be sent when the agent reports the end over its next link. Otherwise the minion would list
/// the end, and the agent read it seven times a second, until another task of the minion ends.
#[test]
fn lost_acknowledgement_is_repeated() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(1)]);
    cluster.carry_out_orders();
    cluster.confirm_writes = false;
    cluster.end_all_runs(EndKind::Done);
    cluster.disconnect_agent("m1");
    cluster.confirm_pending_writes();
    // The acknowledgement could not be sent, as there was no link.
    cluster.acknowledged.clear();
    cluster.join("m1", |info| info);
    cluster.advance(1_000);
    cluster.poll("m1");
    assert_eq!(cluster.acknowledged.get("m1"), Some(&1));
}

/// A minion refuses a start because its run is over, and its agent is restarted before the next
/// poll. The new process counts its results from 0. If the coordinator compared this count with the
/// count at the refusal to detect later polls, it would not place the task again until the agent
/// had reported as many further results, which never happens on an idle minion.
#[test]
fn refused_task_restarts_although_its_agent_was_replaced() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(3)]);
    let refused = cluster.orders.pop().expect("three start orders");
    cluster.carry_out_orders();
    cluster.report_result(&refused, OrderKindTag::Start, OrderOutcome::RunIsOver);
    cluster.restart_agent("m1");
    for _ in 0..25 {
        if let Some(copy) = cluster.orders.iter().position(|o| o.task == refused.task && o.run == 1)
        {
            let copy = cluster.orders.remove(copy);
            cluster.report_result(&copy, OrderKindTag::Start, OrderOutcome::RunIsOver);
        }
        cluster.advance(400);
        cluster.poll("m1");
    }
    assert!(cluster.orders.iter().any(|order| order.task == refused.task && order.run == 2));
}
