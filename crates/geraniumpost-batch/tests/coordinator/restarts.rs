//! Minions that start again under the id that they had.
//!
//! "m1@1" and "m1@2" are two processes under the id "m1". An order that is addressed to the id
//! reaches whichever of them runs.

use assert_matches::assert_matches;
use geraniumpost_batch::{
    CallerRequest, EndKind, FromAgent, Incarnation, JobId, MinionInfo, Order, OrderKind,
    OrderKindTag, OrderOutcome, PollResult, RunningTask,
};
use geraniumpost_schema::Name;

use crate::cluster::{COMPLETED, Cluster, LEASE_MS, minion_info, step};

const EARLIER: &str = "m1@1";
const LATER: &str = "m1@2";
const OTHER: &str = "m2";
/// Longer than a lease and the margin after which it counts as expired, in milliseconds.
const EXPIRY_MS: u64 = 2 * LEASE_MS;

fn named(name: &str, of: impl Fn(MinionInfo) -> MinionInfo) -> MinionInfo {
    of(minion_info(name))
}

/// Returns a cluster with one minion, to which the start of a task was sent, and the start order.
fn cluster_with_start_in_flight() -> (Cluster, Order) {
    let mut cluster = Cluster::new().with_minions(&[EARLIER]);
    cluster.submit(1, vec![step(1)]);
    let start = cluster.orders.remove(0);
    assert_matches!(start.kind, OrderKind::Start { .. });
    (cluster, start)
}

fn terminated(replaced_by: Option<&str>) -> FromAgent {
    FromAgent::MinionTerminated {
        minion: EARLIER.into(),
        crashed: true,
        replaced_by: replaced_by.map(Name::from),
    }
}

/// Reports the later process over the open link, as the agent does that saw both processes.
fn report_restart(cluster: &mut Cluster) {
    cluster.send(LATER, terminated(Some(LATER)));
    cluster.send(LATER, FromAgent::Minion(named(LATER, |info| info)));
    cluster.heartbeat(LATER);
    cluster.poll(LATER);
}

/// Lets the later process carry out the start order for the earlier one.
fn carry_out_late(cluster: &mut Cluster, start: &Order) {
    cluster.running.entry(LATER.into()).or_default().insert(start.task, start.run);
}

fn starts(cluster: &Cluster) -> Vec<&Order> {
    let is_start = |order: &&Order| matches!(order.kind, OrderKind::Start { .. });
    cluster.orders.iter().filter(is_start).collect()
}

/// Checks that the coordinator has only sent a stop of the run to the later process, and that the
/// task starts with a higher number once the stop is confirmed.
fn assert_stopped_before_next_start(cluster: &mut Cluster, start: &Order) {
    let stops: Vec<&Order> = cluster.orders.iter().collect();
    assert_matches!(stops[..], [Order { kind: OrderKind::Stop, .. }], "only the stop is sent");
    assert_eq!((&*stops[0].minion, stops[0].task, stops[0].run), (LATER, start.task, start.run));
    cluster.carry_out_stop_of_unknown_run();
    cluster.advance(200);
    let next = starts(cluster);
    assert_matches!(next[..], [next] if next.run > start.run);
    cluster.carry_out_orders();
    cluster.poll(LATER);
    cluster.end_all_runs(EndKind::Done);
    assert_eq!(cluster.job_state(1), COMPLETED);
}

/// Guards against a task that runs twice: the later process carries out the start order that was in
/// flight to the earlier one, while the task already runs elsewhere.
#[test]
fn start_in_flight_is_stopped_on_restarted_minion_before_the_next_start() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    report_restart(&mut cluster);
    cluster.advance(200);
    assert_stopped_before_next_start(&mut cluster, &start);
}

/// Guards against a run that is not ended because the later process has carried out its start.
#[test]
fn late_start_on_restarted_minion_is_stopped() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    report_restart(&mut cluster);
    carry_out_late(&mut cluster, &start);
    cluster.poll(LATER);
    assert_eq!(starts(&cluster), Vec::<&Order>::new());
    cluster.carry_out_orders();
    assert!(cluster.running[LATER].is_empty());
    cluster.poll(LATER);
    cluster.advance(200);
    assert_matches!(starts(&cluster)[..], [next] if next.run > start.run);
}

/// The end of a late start is numbered 1, as was an end on the earlier process. Guards against a
/// completed task that runs again because its end is taken for one that was handled before.
#[test]
fn ends_of_restarted_minion_are_numbered_anew() {
    let mut cluster = Cluster::new().with_minions(&[EARLIER]);
    cluster.submit(1, vec![step(1)]);
    cluster.carry_out_orders();
    cluster.end_all_runs(EndKind::Done);
    assert_eq!((cluster.job_state(1), cluster.acknowledged[EARLIER]), (COMPLETED, 1));
    cluster.submit(2, vec![step(1)]);
    let start = cluster.orders.remove(0);
    report_restart(&mut cluster);
    carry_out_late(&mut cluster, &start);
    cluster.end_run(&LATER.into(), start.task, EndKind::Done);
    cluster.poll(LATER);
    assert_eq!(cluster.job_state(2), COMPLETED);
    assert_eq!(cluster.acknowledged[LATER], 1);
}

/// A crash with many running tasks. Their runs certainly ended, so the tasks must not wait.
#[test]
fn started_runs_are_requeued_at_once_after_restart() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    cluster.carry_out(start.clone());
    cluster.poll(EARLIER);
    report_restart(&mut cluster);
    // The crash may be the task's fault, so its next start is delayed a little.
    cluster.advance(2_000);
    assert_matches!(starts(&cluster)[..], [next] if next.run > start.run);
    assert!(cluster.orders.iter().all(|order| order.kind != OrderKind::Stop));
}

/// Guards against a second run when the start had no response before the minion crashed.
#[test]
fn start_without_response_is_stopped_on_restarted_minion() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    cluster.report_result(&start, OrderKindTag::Start, OrderOutcome::NoResponse);
    report_restart(&mut cluster);
    cluster.advance(200);
    assert_stopped_before_next_start(&mut cluster, &start);
}

/// The agent process is restarted as well and knows only the later process.
#[test]
fn restart_is_recognized_after_restart_of_the_agent() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    cluster.disconnect_agent(EARLIER);
    cluster.join(LATER, |info| info);
    cluster.advance(200);
    assert_stopped_before_next_start(&mut cluster, &start);
}

/// The coordinator that sent the start fails. Its successor knows the earlier process from the
/// records only.
#[test]
fn successor_stops_start_of_predecessor_on_restarted_minion() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    cluster.take_over();
    cluster.join(LATER, |info| info);
    cluster.advance(200);
    assert_stopped_before_next_start(&mut cluster, &start);
}

/// The predecessor has handled and recorded the termination and then fails before the run is
/// stopped. Guards against a successor to which nobody reports the termination again.
#[test]
fn successor_stops_run_whose_departure_is_recorded() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    report_restart(&mut cluster);
    assert_eq!(cluster.settled_departures, [Name::from(EARLIER)]);
    cluster.take_over();
    cluster.join(LATER, |info| info);
    cluster.advance(200);
    // The record names the later process. The successor sends the start of the same run again,
    // which a minion carries out at most once.
    assert_matches!(&cluster.orders[..], [next] if next.run == start.run && &*next.minion == LATER);
    let next = cluster.orders.remove(0);
    cluster.report_result(&next, OrderKindTag::Start, OrderOutcome::RunIsOver);
    cluster.poll(LATER);
    cluster.advance(200);
    assert_matches!(starts(&cluster)[..], [next] if next.run > start.run);
}

/// The store is slow. Guards against a successor that waits for a lease because neither the records
/// nor any agent tell it which process has taken the earlier one's place.
#[test]
fn departure_is_recorded_once_the_records_name_the_later_process() {
    let (mut cluster, _) = cluster_with_start_in_flight();
    cluster.confirm_writes = false;
    report_restart(&mut cluster);
    assert_eq!(cluster.settled_departures, Vec::<Name>::new());
    cluster.confirm_pending_writes();
    assert_eq!(cluster.settled_departures, [Name::from(EARLIER)]);
}

/// The later process terminates as well, before it has confirmed the stop.
#[test]
fn run_ends_with_a_restarted_minion_that_terminates() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    report_restart(&mut cluster);
    cluster.orders.clear();
    cluster.join(OTHER, |info| info);
    cluster.send(
        LATER,
        FromAgent::MinionTerminated { minion: LATER.into(), crashed: true, replaced_by: None },
    );
    cluster.advance(2_000);
    assert_matches!(starts(&cluster)[..], [next] if &*next.minion == OTHER && next.run > start.run);
}

/// A minion restarts twice in quick succession.
#[test]
fn run_is_stopped_on_the_last_of_several_processes() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    report_restart(&mut cluster);
    cluster.orders.clear();
    let last = "m1@3";
    cluster.send(last, FromAgent::Minion(named(last, |info| info)));
    assert_matches!(
        &cluster.orders[..],
        [Order { kind: OrderKind::Stop, minion, run, .. }]
            if &**minion == last && *run == start.run
    );
}

/// A cut of some seconds: the lease expires, the task starts elsewhere, and then the minion comes
/// back under its id. Guards against the order that was held up in the cut.
#[test]
fn start_that_was_unresolved_at_expiry_is_stopped_on_restarted_minion() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    cluster.disconnect_agent(EARLIER);
    cluster.join(OTHER, |info| info);
    cluster.advance(EXPIRY_MS);
    cluster.carry_out_orders();
    assert_matches!(&cluster.running_tasks()[..], [(_, on, _)] if &**on == OTHER);
    cluster.join(LATER, |info| info);
    let expected =
        Order { minion: LATER.into(), task: start.task, run: start.run, kind: OrderKind::Stop };
    assert_eq!(cluster.orders, std::slice::from_ref(&expected));
    // The stop is repeated until the minion accepts it.
    cluster.orders.clear();
    cluster.advance(2_000);
    assert_eq!(cluster.orders, std::slice::from_ref(&expected));
    cluster.report_result(&expected, OrderKindTag::Stop, OrderOutcome::Done);
    cluster.orders.clear();
    cluster.advance(4_000);
    assert_eq!(cluster.orders, []);
    assert_matches!(&cluster.running_tasks()[..], [(_, on, _)] if &**on == OTHER);
}

/// A restart with another id, which rejects all orders for the earlier one.
#[test]
fn start_in_flight_is_requeued_at_once_if_the_id_changes() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    let other_id = "m1-b@2";
    cluster.send(other_id, FromAgent::Minion(named(other_id, |info| info)));
    cluster.heartbeat(other_id);
    cluster.poll(other_id);
    cluster.advance(2_000);
    assert_matches!(starts(&cluster)[..], [next] if next.run > start.run);
    assert!(cluster.orders.iter().all(|order| order.kind != OrderKind::Stop));
}

/// Agents are replaced one by one by a version that reports start times. Guards against running
/// tasks that are started a second time because their minion has a new name.
#[test]
fn runs_continue_when_an_agent_begins_to_report_the_start_time() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(1)]);
    cluster.carry_out_orders();
    cluster.poll("m1");
    let runs = cluster.running.remove("m1").expect("the task runs");
    cluster.running.insert(LATER.into(), runs);
    cluster.disconnect_agent("m1");
    cluster.join(LATER, |info| info);
    cluster.advance(2_000);
    cluster.poll(LATER);
    assert_eq!(cluster.orders, []);
    cluster.end_all_runs(EndKind::Done);
    assert_eq!(cluster.job_state(1), COMPLETED);
}

/// Lists a run of a cancelled job, and checks that the run is stopped within one tick, unless a stop
/// was sent before.
fn assert_stopped_when_listed(cluster: &mut Cluster, minion: &str, start: &Order) {
    let running = RunningTask {
        task: start.task,
        run: start.run,
        checkpoint: Name::default(),
        progress_percent: 1,
        measurement: 0,
    };
    let poll_result = PollResult {
        minion: minion.into(),
        running: Some(vec![running]),
        orders_reported_before: 1,
        ..PollResult::default()
    };
    cluster.send(minion, FromAgent::PollResult(poll_result));
    cluster.advance(100);
    let is_stop = |order: &Order| {
        order.kind == OrderKind::Stop
            && &*order.minion == minion
            && (order.task, order.run) == (start.task, start.run)
    };
    assert!(cluster.orders.iter().any(is_stop), "{:?}", cluster.orders);
    assert_eq!(starts(cluster), Vec::<&Order>::new());
}

/// Many jobs are cancelled while their starts are in flight, and minions start their tasks late.
#[test]
fn late_start_of_cancelled_job_is_stopped_when_it_is_listed() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    cluster.request(CallerRequest::Cancel(JobId(1)));
    assert_stopped_when_listed(&mut cluster, EARLIER, &start);
}

/// The stop of the cancelled run was accepted, and the run has ended for the coordinator.
#[test]
fn start_of_cancelled_job_after_its_end_is_stopped_when_it_is_listed() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    cluster.request(CallerRequest::Cancel(JobId(1)));
    cluster.carry_out_stop_of_unknown_run();
    assert_stopped_when_listed(&mut cluster, EARLIER, &start);
}

/// The coordinator that sent the start is removed after the cancelling.
#[test]
fn successor_stops_late_start_of_cancelled_job() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    cluster.request(CallerRequest::Cancel(JobId(1)));
    cluster.take_over();
    cluster.join(EARLIER, |info| info);
    assert_stopped_when_listed(&mut cluster, EARLIER, &start);
}

/// The minion restarts under its id after the cancelling, and then carries out the start.
#[test]
fn restarted_minion_stops_late_start_of_cancelled_job() {
    let (mut cluster, start) = cluster_with_start_in_flight();
    cluster.request(CallerRequest::Cancel(JobId(1)));
    report_restart(&mut cluster);
    assert_stopped_when_listed(&mut cluster, LATER, &start);
}

#[test]
fn names_tell_processes_under_one_id_apart() {
    let name = |id: &str, born_ms| Incarnation { id: id.into(), born_ms }.to_name();
    for (id, born_ms) in
        [("i-7", None), ("i-7", Some(5)), ("a@5", None), ("a@", Some(0)), ("", None)]
    {
        let incarnation = Incarnation { id: id.into(), born_ms };
        assert_eq!(Incarnation::from_name(&incarnation.to_name()), incarnation);
    }
    let (unknown, one, two) = (name("i-7", None), name("i-7", Some(1)), name("i-7", Some(2)));
    assert!(Incarnation::is_other_process(&one, &two));
    assert!(
        !Incarnation::is_other_process(&one, &one)
            && !Incarnation::is_other_process(&one, &unknown)
    );
    assert!(!Incarnation::is_other_process(&one, &name("i-8", Some(2))));
    assert!(Incarnation::may_be_same_process(&unknown, &one));
    assert!(Incarnation::from_name(&two).is_later_than(&one));
    assert!(Incarnation::from_name(&one).is_later_than(&unknown));
    assert!(!Incarnation::from_name(&one).is_later_than(&two));
}
