//! Evacuation of failure domains: no task starts there, whatever is under way.

use assert_matches::assert_matches;
use geraniumpost_batch::{
    CallerResponse, EndKind, MinionInfo, Order, OrderKind, OrderKindTag, OrderOutcome, StepSpec,
    TaskId,
};

use crate::cluster::{COMPLETED, Cluster, persistent_step, step, task};

const BOUND_MS: u64 = 5_000;
/// Age of a reading from which it permits no start, in milliseconds.
const MAX_AGE_MS: u64 = BOUND_MS - 1_000;
/// Interval between two readings in [`advance_with_readings`], in milliseconds.
const READ_INTERVAL_MS: u64 = 400;

/// Returns a cluster that knows that nothing is evacuated, with a minion in each of two domains.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new().with_evacuation_bound_ms(BOUND_MS);
    join_both(&mut cluster);
    cluster.read_evacuations(&[]);
    cluster
}

/// Lets the minions `surco` and `ate` join, each in the domain of the same name.
fn join_both(cluster: &mut Cluster) {
    for domain in ["surco", "ate"] {
        cluster.join(domain, |info| MinionInfo { domain: domain.into(), ..info });
    }
}

fn advance_with_readings(cluster: &mut Cluster, ms: u64, evacuated: &[&str]) {
    for _ in 0..ms.div_ceil(READ_INTERVAL_MS) {
        cluster.read_evacuations(evacuated);
        cluster.advance(READ_INTERVAL_MS);
    }
}

/// Returns the minions to which the waiting orders would start a task.
fn start_targets(cluster: &Cluster) -> Vec<&str> {
    let is_start = |order: &&Order| matches!(order.kind, OrderKind::Start { .. });
    cluster.orders.iter().filter(is_start).map(|order| &*order.minion).collect()
}

fn stops(cluster: &Cluster) -> Vec<TaskId> {
    let is_stop = |order: &&Order| order.kind == OrderKind::Stop;
    cluster.orders.iter().filter(is_stop).map(|order| order.task).collect()
}

#[test]
fn tasks_start_only_in_other_domains() {
    let mut cluster = cluster();
    cluster.read_evacuations(&["surco"]);
    cluster.submit(1, vec![step(20)]);
    assert_eq!(start_targets(&cluster), ["ate"; 16]);
    cluster.read_evacuations(&[]);
    cluster.advance(200);
    assert_eq!(start_targets(&cluster)[16..], ["surco"; 4]);
}

/// Guards against a domain that an operator names by mistake.
#[test]
fn evacuation_of_an_unknown_domain_affects_no_minion() {
    let mut cluster = cluster();
    cluster.read_evacuations(&["nowhere", ""]);
    cluster.submit(1, vec![step(32)]);
    assert_eq!(start_targets(&cluster).len(), 32);
    assert!(
        cluster
            .log_lines
            .iter()
            .any(|line| line.contains("domain=nowhere revision=1") && line.contains("minions=0"))
    );
}

/// Guards against a successor that starts tasks anywhere before it has read the requests.
#[test]
fn successor_starts_nothing_before_it_has_read_the_evacuations() {
    let mut cluster = cluster();
    cluster.submit(1, vec![step(4)]);
    cluster.take_over();
    join_both(&mut cluster);
    cluster.submit(2, vec![step(1)]);
    cluster.advance(1_000);
    assert!(start_targets(&cluster).is_empty(), "{:?}", cluster.orders);
    cluster.read_evacuations(&["surco"]);
    cluster.advance(400);
    assert!(start_targets(&cluster).contains(&"ate"));
    assert!(!start_targets(&cluster).contains(&"surco"), "{:?}", cluster.orders);
}

/// Guards against starts by a coordinator that has not heard from the store for so long that a
/// domain may have been evacuated meanwhile.
#[test]
fn nothing_starts_while_the_last_reading_is_too_old() {
    let mut cluster = cluster();
    cluster.advance(MAX_AGE_MS);
    cluster.submit(1, vec![step(2)]);
    cluster.advance(6_000);
    assert!(cluster.orders.is_empty());
    assert!(cluster.log_lines.iter().any(|line| line.contains("event=evacuations_unknown")));
    assert!(cluster.log_lines.iter().any(|line| line.contains("evacuations_unknown=2")));
    cluster.read_evacuations(&[]);
    assert_eq!(start_targets(&cluster).len(), 2);
}

/// Guards against a task that was placed before the evacuation was known and whose start waits for
/// the commit of its placement.
#[test]
fn placement_that_is_being_committed_is_given_up() {
    let mut cluster = cluster();
    cluster.confirm_writes = false;
    cluster.submit(1, vec![step(4)]);
    cluster.read_evacuations(&["surco"]);
    cluster.confirm_pending_writes();
    assert_eq!(start_targets(&cluster), ["ate"; 2]);
    advance_with_readings(&mut cluster, 400, &["surco"]);
    assert_eq!(start_targets(&cluster), ["ate"; 4]);
    assert!(stops(&cluster).is_empty());
    assert_eq!(cluster.coordinator.evacuation_status(cluster.now).dropped_starts, 2);
}

/// Guards against a start that is held back while the evacuations are unknown and is sent although
/// the domain turns out to be evacuated.
#[test]
fn held_start_is_given_up_if_the_domain_is_evacuated() {
    let mut cluster = cluster();
    cluster.confirm_writes = false;
    cluster.submit(1, vec![step(1)]);
    cluster.advance(MAX_AGE_MS);
    cluster.confirm_pending_writes();
    cluster.advance(2_000);
    assert!(cluster.orders.is_empty());
    cluster.read_evacuations(&["ate"]);
    advance_with_readings(&mut cluster, 800, &["ate"]);
    assert_eq!(start_targets(&cluster), ["surco"]);
}

/// Guards against the repetition of a start whose first copy had no response: the first copy may
/// still start the task, which must therefore be stopped there before it starts elsewhere.
#[test]
fn start_without_response_is_not_repeated_in_an_evacuated_domain() {
    let mut cluster = cluster();
    cluster.submit(1, vec![step(1)]);
    let lost = cluster.orders.remove(0);
    cluster.report_result(&lost, OrderKindTag::Start, OrderOutcome::NoResponse);
    let evacuated = [&*lost.minion];
    advance_with_readings(&mut cluster, 1_000, &evacuated);
    assert!(start_targets(&cluster).is_empty(), "{:?}", cluster.orders);
    assert_eq!(stops(&cluster), [task(1, 0, 0)]);
    cluster.carry_out_stop_of_unknown_run();
    advance_with_readings(&mut cluster, 800, &evacuated);
    assert_matches!(start_targets(&cluster)[..], [target] if target != &*lost.minion);
}

/// Guards against a predecessor's placement that a successor would carry out: the minion does not
/// list the run, and its start would otherwise be sent again.
#[test]
fn placement_of_a_predecessor_is_not_carried_out_in_an_evacuated_domain() {
    let mut cluster = cluster();
    cluster.submit(1, vec![step(2)]);
    cluster.take_over();
    cluster.read_evacuations(&["surco", "ate"]);
    join_both(&mut cluster);
    advance_with_readings(&mut cluster, 2_000, &["surco", "ate"]);
    assert!(start_targets(&cluster).is_empty(), "{:?}", cluster.orders);
    let stopped: std::collections::BTreeSet<TaskId> = stops(&cluster).into_iter().collect();
    assert_eq!(stopped.into_iter().collect::<Vec<_>>(), [task(1, 0, 0), task(1, 0, 1)]);
}

/// Guards against an order that is delayed on its way: the agent knows until when it may send it.
#[test]
fn start_orders_expire_on_the_clock_of_the_agent() {
    let mut cluster = cluster();
    let read_ms = cluster.now.steady_ms;
    cluster.advance(1_000);
    cluster.submit(1, vec![step(1)]);
    // In these tests the agents' clocks agree with the coordinator's.
    assert_matches!(
        cluster.orders[0].kind,
        OrderKind::Start { expires_ms: Some(expires_ms), .. }
            if expires_ms == read_ms + MAX_AGE_MS
    );
}

/// An operator wants nothing more to be sent; what runs there runs on, and what ends is started
/// elsewhere.
#[test]
fn running_tasks_continue_and_restart_elsewhere() {
    let mut cluster = cluster();
    cluster.submit(1, vec![persistent_step(2)]);
    cluster.carry_out_orders();
    advance_with_readings(&mut cluster, 2_000, &["surco"]);
    assert!(cluster.orders.is_empty(), "{:?}", cluster.orders);
    let (ended, _, _) =
        cluster.running_tasks().into_iter().find(|(_, m, _)| &**m == "surco").unwrap();
    cluster.end_run(&"surco".into(), ended, EndKind::Failed);
    cluster.poll("surco");
    advance_with_readings(&mut cluster, 800, &["surco"]);
    assert_eq!(start_targets(&cluster), ["ate"]);
}

/// Guards against the stop of a throttled or draining task whose only other places are evacuated.
#[test]
fn no_task_is_moved_into_an_evacuated_domain() {
    let mut cluster = cluster();
    cluster.submit(1, vec![persistent_step(2)]);
    cluster.carry_out_orders();
    cluster.read_evacuations(&["surco"]);
    cluster.send(
        "ate",
        geraniumpost_batch::FromAgent::Minion(MinionInfo {
            draining: true,
            remaining_ms: Some(20_000),
            sequence: 2,
            domain: "ate".into(),
            ..crate::cluster::minion_info("ate")
        }),
    );
    advance_with_readings(&mut cluster, 1_200, &["surco"]);
    assert!(stops(&cluster).is_empty(), "{:?}", cluster.orders);
    advance_with_readings(&mut cluster, 800, &[]);
    assert_eq!(stops(&cluster).len(), 1);
}

/// All members of a gang start in the domains that remain, or none does.
#[test]
fn gang_waits_until_it_fits_into_the_other_domains() {
    let mut cluster = cluster();
    cluster.read_evacuations(&["surco"]);
    cluster.submit(1, vec![StepSpec { gang: true, ..step(20) }]);
    assert!(cluster.orders.is_empty());
    cluster.read_evacuations(&[]);
    assert_eq!(start_targets(&cluster).len(), 20);
}

/// Guards against a job that waits without end although it is known that nothing can run it.
#[test]
fn job_that_fits_only_in_evacuated_domains_is_refused() {
    let mut cluster = cluster();
    cluster.join("large", |mut info| {
        info.capacity.milli_cpus = 64_000;
        info.domain = "callao".into();
        info
    });
    cluster.read_evacuations(&["callao"]);
    let mut wide = step(1);
    wide.demand.milli_cpus = 32_000;
    let refused = cluster.submit(1, vec![step(1), wide.clone()]);
    assert_matches!(cluster.response(refused), Some(CallerResponse::Refused { .. }));
    let accepted = cluster.submit(2, vec![step(1)]);
    assert_eq!(cluster.response(accepted), Some(CallerResponse::Accepted));
    cluster.read_evacuations(&["callao", "surco", "ate"]);
    let refused = cluster.submit(3, vec![step(1)]);
    assert_matches!(cluster.response(refused), Some(CallerResponse::Refused { .. }));
    cluster.read_evacuations(&[]);
    let accepted = cluster.submit(1, vec![wide]);
    assert_eq!(cluster.response(accepted), Some(CallerResponse::Accepted));
    cluster.carry_out_orders();
    cluster.end_all_runs(EndKind::Done);
    assert_eq!(cluster.job_state(1), COMPLETED);
}

/// A request that is withdrawn and made again within a second, several times, with all domains at
/// once: nothing starts while it stands, and everything starts in the end.
#[test]
fn repeated_evacuations_of_all_domains() {
    let mut cluster = cluster();
    cluster.submit(1, vec![persistent_step(4)]);
    cluster.carry_out_orders();
    for round in 0..6 {
        cluster.read_evacuations(&["surco", "ate"]);
        cluster.end_all_runs(EndKind::Failed);
        advance_with_readings(&mut cluster, 400, &["surco", "ate"]);
        assert!(start_targets(&cluster).is_empty(), "round {round}: {:?}", cluster.orders);
        advance_with_readings(&mut cluster, 400, &[]);
        cluster.carry_out_orders();
        assert_eq!(cluster.running_tasks().len(), 4, "round {round}");
    }
    let counts = ["event=domain_evacuated", "event=domain_readmitted"]
        .map(|event| cluster.log_lines.iter().filter(|line| line.contains(event)).count());
    assert_eq!(counts, [12, 12]);
}
