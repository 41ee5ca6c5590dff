//! Leases on running tasks, and minions that join, drain or are lost.

use assert_matches::assert_matches;
use geraniumpost_batch::tuning::STORE_OUTAGE_TOLERANCE_MS;
use geraniumpost_batch::{EndKind, FromAgent, OrderKind, OrderOutcome, lease_expiry_bound_ms};

use crate::cluster::{
    COMPLETED, Cluster, LEASE_MS, SILENT_COORDINATOR_ADDRESS, agent_name, minion_info,
    persistent_step, step,
};

/// An agent is disconnected while its minion still runs a task. The task must not restart elsewhere
/// before the lease has expired, or it would run twice.
#[test]
fn task_of_a_disconnected_agent_waits_for_its_lease() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(1));
    cluster.disconnect_agent("m1");
    cluster.join("m2", |info| info);
    cluster.advance(LEASE_MS);
    assert!(cluster.orders.is_empty());
    cluster.advance(600);
    assert_matches!(cluster.orders[..], [ref order] if &*order.minion == "m2" && order.run == 2);
}

/// The agent links again before its lease expires, and the task has been running throughout.
#[test]
fn task_of_a_returning_agent_keeps_running() {
    let mut cluster = Cluster::with_running_job(&["m1", "m2"], step(1));
    let before = cluster.running_tasks();
    let minion = before[0].1.clone();
    cluster.disconnect_agent(&minion);
    cluster.advance(2_000);
    cluster.join(&minion, |info| info);
    cluster.advance(2 * LEASE_MS / 5);
    cluster.heartbeat(&minion);
    assert!(cluster.orders.is_empty());
    assert_eq!(cluster.running_tasks(), before);
}

/// A successor cannot reach an agent whose lease the predecessor may have extended just before it
/// was lost. The successor waits until such a lease must have expired.
#[test]
fn successor_waits_for_predecessor_leases() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(1));
    cluster.take_over();
    cluster.join("m2", |info| info);
    cluster.advance(LEASE_MS);
    assert!(cluster.orders.is_empty());
    cluster.advance(600);
    assert_matches!(cluster.orders[..], [ref order] if &*order.minion == "m2");
}

/// A successor takes over from a silent predecessor that may have lost the store, and an agent is
/// lost at the same time. Once the predecessor reports that its term has ended, the successor waits
/// only for leases extended before that. Otherwise a persistent task would be down for another
/// `STORE_OUTAGE_TOLERANCE_MS`.
#[test]
fn report_of_an_ended_term_shortens_the_wait() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(1));
    cluster.take_over_from_silent_coordinator();
    cluster.join("m2", |info| info);
    cluster.advance(500);
    cluster.coordinator.record_predecessor_term_end(SILENT_COORDINATOR_ADDRESS, cluster.now);
    cluster.advance(LEASE_MS);
    assert!(cluster.orders.is_empty());
    cluster.advance(600);
    assert_matches!(cluster.orders[..], [ref order] if &*order.minion == "m2");
}

/// A predecessor reports the end of its term when the remaining wait for its leases is shorter than
/// a lease. The report must not prolong the wait.
#[test]
fn late_report_of_an_ended_term_does_not_prolong_the_wait() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(1));
    cluster.take_over_from_silent_coordinator();
    cluster.join("m2", |info| info);
    cluster.advance(LEASE_MS + STORE_OUTAGE_TOLERANCE_MS);
    cluster.coordinator.record_predecessor_term_end(SILENT_COORDINATOR_ADDRESS, cluster.now);
    assert!(cluster.orders.is_empty());
    cluster.advance(600);
    assert_matches!(cluster.orders[..], [ref order] if &*order.minion == "m2");
}

/// A coordinator whose term the store has not confirmed recently may have a successor, which treats
/// runs as ended after a fixed time. The coordinator must not extend leases beyond that time.
#[test]
fn unconfirmed_coordinator_extends_no_lease() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.now.steady_ms += STORE_OUTAGE_TOLERANCE_MS + 1;
    let heartbeat = FromAgent::Heartbeat { sent_at_ms: 5, minion_ok: true };
    cluster.coordinator.handle_agent_message(&agent_name("m1"), heartbeat, cluster.now);
    let effects = cluster.coordinator.take_effects(cluster.now);
    let lease = effects.iter().find_map(|effect| match effect {
        geraniumpost_batch::Effect::Send {
            message: geraniumpost_batch::ToAgent::Lease { lease_ms, store_ok, .. },
            ..
        } => Some((*lease_ms, *store_ok)),
        _ => None,
    });
    assert_eq!(lease, Some((0, false)));
}

/// The store's confirmation of a term takes three seconds to arrive, and another entry takes over
/// meanwhile. If `STORE_OUTAGE_TOLERANCE_MS` were counted from the arrival instead of the request,
/// leases would be extended beyond the successor's wait, and a task would run twice.
#[test]
fn confirmation_counts_from_the_time_of_the_request() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let requested_ms = cluster.now.steady_ms;
    cluster.now.steady_ms += 3_000;
    cluster.coordinator.record_store_confirmation(requested_ms, cluster.now.steady_ms);
    cluster.now.steady_ms = requested_ms + STORE_OUTAGE_TOLERANCE_MS;
    cluster.lease_extensions.clear();
    cluster.heartbeat("m1");
    assert_matches!(cluster.lease_extensions[..], [(_, _, 0)]);
}

/// A draining minion gets no new task, and its tasks that cannot end before its departure move.
#[test]
fn draining_minion_is_emptied() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let mut long = step(1);
    long.estimate_ms = 60_000;
    cluster.submit(1, vec![long]);
    cluster.carry_out_orders();
    cluster.join("m2", |info| info);
    cluster.submit(2, vec![step(1)]);
    cluster.carry_out_orders();
    cluster.join("m1", |mut info| {
        info.draining = true;
        info.sequence = 2;
        info.remaining_ms = Some(3_000);
        info
    });
    let stops: Vec<_> = cluster.orders.iter().filter(|o| o.kind == OrderKind::Stop).collect();
    assert_eq!(stops.len(), 1);
    cluster.carry_out_orders();
    cluster.poll("m1");
    cluster.advance(200);
    assert!(!cluster.orders.is_empty());
    assert!(cluster.orders.iter().all(|order| &*order.minion == "m2"));
}

/// A delayed message that a minion is ready arrives after a newer one that the minion drains. The
/// delayed message has an older sequence number and is ignored.
#[test]
fn outdated_minion_info_is_ignored() {
    let mut cluster = Cluster::new();
    cluster.join("m1", |mut info| {
        info.draining = true;
        info.sequence = 5;
        info
    });
    cluster.join("m1", |mut info| {
        info.sequence = 4;
        info
    });
    cluster.submit(1, vec![step(1)]);
    assert!(cluster.orders.is_empty());
}

/// A persistent task is restarted whenever it ends, for whatever reason and however often.
#[test]
fn persistent_task_is_always_restarted() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    cluster.submit(1, vec![persistent_step(1)]);
    for kind in
        [EndKind::Failed, EndKind::Failed, EndKind::Failed, EndKind::LeaseExpired, EndKind::Done]
    {
        cluster.carry_out_orders();
        assert_eq!(cluster.running_tasks().len(), 1, "before it ended as {kind}");
        cluster.end_all_runs(kind);
        cluster.advance(300);
    }
    assert_eq!(cluster.orders.len(), 1);
}

/// A minion restarts while its agent holds a valid lease, long after the takeover. A task that
/// starts there before the agent's next heartbeat is covered by that lease. If the coordinator
/// considered the run ended, the task would run twice.
#[test]
fn new_incarnation_is_covered_by_its_agents_lease() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.advance(2 * LEASE_MS);
    cluster.heartbeat("m1");
    cluster.send("m1", FromAgent::Minion(minion_info("m1-b")));
    cluster.poll("m1-b");
    cluster.submit(1, vec![step(1)]);
    cluster.carry_out_orders();
    assert_eq!(cluster.running_tasks().len(), 1);
    cluster.advance(300);
    assert!(cluster.orders.is_empty());
}

/// An agent sends no start to a minion that does not respond. The tasks are placed elsewhere at
/// once, and no task is placed on that minion until it responds.
#[test]
fn unresponsive_minion_gets_no_task() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    cluster.submit(1, vec![step(1)]);
    let order = cluster.orders.remove(0);
    let minion = order.minion.clone();
    cluster.heartbeat_with_unresponsive_minion(&minion);
    cluster.report_result(&order, geraniumpost_batch::OrderKindTag::Start, OrderOutcome::NotSent);
    cluster.advance(300);
    cluster.submit(2, vec![step(3)]);
    assert_eq!(cluster.orders.len(), 4);
    assert!(cluster.orders.iter().all(|order| order.minion != minion));
}

/// A persistent task fails on a nearly full minion. The task's capacity stays free for its restart:
/// a short task must not take it, because short tasks have a reserve of their own.
#[test]
fn failed_persistent_task_gets_its_capacity_back() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![persistent_step(15)]);
    let mut small = step(1);
    small.persistent = true;
    small.demand.milli_cpus = 500;
    cluster.submit(2, vec![small]);
    cluster.carry_out_orders();
    assert_eq!(cluster.running_tasks().len(), 16);
    let (task, minion, _) = cluster.running_tasks()[3].clone();
    cluster.submit(
        3,
        vec![geraniumpost_batch::StepSpec {
            demand: geraniumpost_batch::Demand { milli_cpus: 400, memory_mb: 10, accelerators: 0 },
            ..step(1)
        }],
    );
    cluster.carry_out_orders();
    cluster.end_run(&minion, task, EndKind::Failed);
    cluster.poll("m1");
    cluster.advance(300);
    assert_matches!(cluster.orders[..], [ref order] if order.task == task && order.run == 2);
}

/// After a power failure, a minion is polled before its agent holds a lease. If tasks were placed
/// there, the agent would refuse every start, and they would be placed again many times a second.
#[test]
fn nothing_is_placed_before_the_agent_holds_a_lease() {
    let mut cluster = Cluster::new();
    cluster.send("m1", FromAgent::Hello { agent: agent_name("m1") });
    cluster.send("m1", FromAgent::Minion(minion_info("m1")));
    cluster.poll("m1");
    cluster.submit(1, vec![step(1)]);
    assert!(cluster.orders.is_empty());
    cluster.heartbeat("m1");
    assert_eq!(cluster.orders.len(), 1);
}

/// The coordinator steps down while an agent is disconnected. The successor waits only for the
/// remainder of the agent's lease; otherwise each planned restart of a coordinator would prolong
/// the downtime of persistent tasks by a whole lease.
#[test]
fn successor_learns_the_remaining_lease_of_unreachable_agents() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(1));
    cluster.disconnect_agent("m1");
    cluster.advance(3_000);
    let predecessor_leases = cluster.coordinator.leases_for_successor(cluster.now);
    let remaining_ms = predecessor_leases.unreached.get(&agent_name("m1")).copied();
    assert_eq!(remaining_ms, Some(lease_expiry_bound_ms(LEASE_MS) - 3_000));
    cluster.take_over_with(&predecessor_leases);
    cluster.join("m2", |info| info);
    cluster.advance(2_300);
    assert!(cluster.orders.is_empty());
    cluster.advance(300);
    assert_matches!(cluster.orders[..], [ref order] if &*order.minion == "m2");
}

/// A disconnected agent sends a heartbeat just before the coordinator steps down, and the agent's
/// lease is extended. If the successor still expected the earlier expiry, it would restart tasks
/// elsewhere while they run, so the coordinator first removes the agent from `unreached`.
#[test]
fn agent_that_sends_a_heartbeat_is_no_longer_unreachable() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(1));
    cluster.disconnect_agent("m1");
    cluster.advance(3_000);
    assert!(cluster.coordinator.take_leases_for_successor_changed());
    let heartbeat = FromAgent::Heartbeat { sent_at_ms: cluster.now.steady_ms, minion_ok: true };
    cluster.coordinator.handle_agent_message(&agent_name("m1"), heartbeat, cluster.now);
    assert!(cluster.coordinator.take_leases_for_successor_changed());
    assert!(cluster.coordinator.leases_for_successor(cluster.now).unreached.is_empty());
}

/// An agent that has linked to a successor no longer accepts lease extensions of the silent
/// predecessor. Its minion's tasks end when the lease held at that time expires, long before the
/// silent coordinator would detect that it has lost the store.
#[test]
fn lease_of_a_linked_agent_is_not_extended_by_a_silent_coordinator() {
    let mut cluster = Cluster::with_running_job(&["m1"], step(1));
    cluster.take_over_from_silent_coordinator();
    cluster.join("m2", |info| info);
    cluster.send("m1", FromAgent::Hello { agent: agent_name("m1") });
    cluster.advance(LEASE_MS);
    assert!(cluster.orders.is_empty());
    cluster.advance(600);
    assert_matches!(cluster.orders[..], [ref order] if &*order.minion == "m2");
}

/// A machine is lost while its link stays open. After a few missing heartbeats of its agent, no
/// task is placed on the machine, because no order would be carried out.
#[test]
fn agent_without_heartbeats_gets_no_task() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    cluster.stop_heartbeats("m1");
    cluster.advance(2_000);
    cluster.submit(1, vec![step(4)]);
    assert_eq!(cluster.orders.len(), 4);
    assert!(cluster.orders.iter().all(|order| &*order.minion == "m2"));
    cluster.heartbeat("m1");
    cluster.submit(2, vec![step(4)]);
    assert!(cluster.orders.iter().any(|order| &*order.minion == "m1"));
}

/// A minion completes a task while its agent is disconnected. The agent links again just before its
/// lease expires. If the expiry were handled before the minion's lists are read, the completed task
/// would run a second time.
#[test]
fn lists_of_a_relinked_agent_are_read_before_its_lease_expires() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    cluster.submit(1, vec![step(1)]);
    cluster.carry_out_orders();
    let (task, minion, _) = cluster.running_tasks()[0].clone();
    cluster.disconnect_agent(&minion);
    cluster.end_run(&minion, task, EndKind::Done);
    cluster.advance(lease_expiry_bound_ms(LEASE_MS) - 100);
    cluster.send(&minion, FromAgent::Hello { agent: agent_name(&minion) });
    cluster.advance(200);
    cluster.poll(&minion);
    assert!(cluster.orders.is_empty());
    assert_eq!(cluster.job_state(1), COMPLETED);
}

/// A disconnected agent links again, but sends no lists of its minion's tasks. The coordinator
/// waits for the lists only for a bounded time after the expiry of the lease.
#[test]
fn wait_for_lists_of_a_relinked_agent_is_bounded() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    cluster.submit(1, vec![step(1)]);
    cluster.carry_out_orders();
    let (_, minion, _) = cluster.running_tasks()[0].clone();
    cluster.disconnect_agent(&minion);
    cluster.advance(lease_expiry_bound_ms(LEASE_MS) - 100);
    cluster.send(&minion, FromAgent::Hello { agent: agent_name(&minion) });
    cluster.advance(900);
    assert!(cluster.orders.is_empty());
    cluster.advance(400);
    assert_matches!(cluster.orders[..], [ref order] if order.minion != minion);
}
