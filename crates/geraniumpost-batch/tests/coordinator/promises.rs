//! What callers are promised, while answers and processes are lost.

use assert_matches::assert_matches;
use geraniumpost_batch::{
    CallerRequest, CallerResponse, EndKind, FromAgent, JobId, OrderKind, OrderOutcome, OrderVerb,
};

use crate::world::{COMPLETED, World, step, task};

/// The coordinator could lose power right after it has answered. A caller that was told "accepted"
/// would never see its job again, so the record is written before the answer.
#[test]
fn acceptance_waits_for_the_store() {
    let mut world = World::new();
    world.writes_pass = false;
    let ticket = world.submit(1, vec![step(1)]);
    assert_eq!(world.answer(ticket), None);
    world.pass_writes();
    assert_eq!(world.answer(ticket), Some(CallerResponse::Accepted));
}

/// A caller that lost its answer sends the job again, through any entry, perhaps seconds after it
/// was done. It must be accepted again and run no second time.
#[test]
fn repeated_submission_is_one_job() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(2)]);
    let repeat = world.submit(1, vec![step(2)]);
    assert_eq!(world.answer(repeat), Some(CallerResponse::Accepted));
    world.obey();
    assert_eq!(world.places().len(), 2);
    world.end_all(EndKind::Done);
    assert_eq!(world.state(1), COMPLETED);
    let late = world.submit(1, vec![step(2)]);
    assert_eq!(world.answer(late), Some(CallerResponse::Accepted));
    assert!(world.orders.is_empty());
    assert_eq!(world.state(1), COMPLETED);
}

/// If a start left before its placement was written, a successor would know nothing of the run and
/// begin the task a second time beside it.
#[test]
fn start_leaves_after_its_placement_is_written() {
    let mut world = World::new().with_minions(&["m1"]);
    world.writes_pass = false;
    world.submit(1, vec![step(1)]);
    assert!(world.orders.is_empty());
    world.pass_writes();
    assert_matches!(world.orders[..], [ref order] if matches!(order.kind, OrderKind::Start { .. }));
}

/// A minion forgets an end once it is acknowledged. If the store did not hold it by then, a
/// successor would run the task again although it was done.
#[test]
fn end_is_written_before_the_minion_may_forget_it() {
    let mut world = World::at_work(&["m1"], step(1));
    world.writes_pass = false;
    world.end_all(EndKind::Done);
    assert!(world.acknowledged.is_empty());
    assert_eq!(world.state(1), CallerResponse::State(geraniumpost_batch::JobState::Running));
    world.pass_writes();
    assert_eq!(world.acknowledged.get("m1"), Some(&1));
    assert_eq!(world.state(1), COMPLETED);
}

/// The coordinator dies between the write of a placement and its start order. Its successor finds
/// the placement, and gives the same run again: were it a new run, a late copy of the first order
/// could begin beside it.
#[test]
fn successor_gives_lost_starts_again() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(1)]);
    world.take_over();
    assert!(world.orders.is_empty());
    world.join("m1", |info| info);
    assert_eq!(world.orders.len(), 1);
    assert_eq!(world.orders[0].run, 1);
    world.obey();
    world.end_all(EndKind::Done);
    assert_eq!(world.state(1), COMPLETED);
}

/// The coordinator dies while tasks run. They go on, and nobody notices anything.
#[test]
fn successor_leaves_running_work_alone() {
    let mut world = World::at_work(&["m1", "m2"], step(6));
    let before = world.places();
    world.take_over();
    world.join("m1", |info| info);
    world.join("m2", |info| info);
    world.pass(1_000);
    assert!(world.orders.is_empty());
    assert_eq!(world.places(), before);
}

/// A task fails twice, through its own fault, in a queue that allows two attempts. Its caller is
/// told that the job has failed, and no third attempt is made.
#[test]
fn job_fails_after_its_attempts() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    world.submit(1, vec![step(1)]);
    for _ in 0..2 {
        world.obey();
        world.end_all(EndKind::Failed);
        world.pass(200);
    }
    assert!(world.orders.is_empty());
    assert_eq!(world.state(1), CallerResponse::State(geraniumpost_batch::JobState::Failed));
}

/// A caller cancels a job that runs. Its tasks are stopped, and it is never shown as anything else.
#[test]
fn cancelled_job_is_stopped() {
    let mut world = World::at_work(&["m1"], step(2));
    let ticket = world.ask(CallerRequest::Cancel(JobId(1)));
    assert_eq!(world.answer(ticket), Some(CallerResponse::Cancelled));
    world.obey();
    world.look("m1");
    assert!(world.places().is_empty());
    world.pass(500);
    assert!(world.orders.is_empty());
    assert_eq!(world.state(1), CallerResponse::State(geraniumpost_batch::JobState::Cancelled));
}

/// A minion leaves a start unanswered and then has no room for its copy. The first one may still be
/// carried out when room comes, beside a run elsewhere; so the run is barred before it is replaced.
#[test]
fn unanswered_start_is_barred_before_it_is_replaced() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    world.submit(1, vec![step(1)]);
    let order = world.orders.remove(0);
    world.result(&order, OrderVerb::Start, OrderOutcome::Unanswered);
    world.pass(400);
    let copy = world.orders.remove(0);
    assert_eq!((copy.task, copy.run, &copy.minion), (order.task, order.run, &order.minion));
    world.result(&copy, OrderVerb::Start, OrderOutcome::NoCapacity);
    assert_matches!(world.orders[..], [ref stop] if stop.kind == OrderKind::Stop);
    world.obey();
    assert!(world.orders.is_empty());
    let minion = order.minion.clone();
    world.look(&minion);
    world.pass(300);
    assert_matches!(world.orders[..], [ref start] if start.run == 2 && start.task == task(1, 0, 0));
}

/// Without any answer lost, a refused start is simply placed elsewhere.
#[test]
fn refused_start_goes_elsewhere() {
    let mut world = World::new().with_minions(&["m1", "m2"]);
    world.submit(1, vec![step(1)]);
    let order = world.orders.remove(0);
    world.result(&order, OrderVerb::Start, OrderOutcome::NoCapacity);
    world.pass(300);
    assert_matches!(world.orders[..], [ref start] if start.minion != order.minion);
}

/// A minion runs what this coordinator never ordered, as after the job was cancelled and forgotten.
/// It holds room that nobody accounts for, so it is stopped.
#[test]
fn unknown_runs_are_stopped() {
    let mut world = World::new().with_minions(&["m1"]);
    world.running.entry("m1".into()).or_default().insert(task(9, 0, 0), 3);
    world.look("m1");
    assert_matches!(world.orders[..], [ref o] if o.kind == OrderKind::Stop && o.run == 3);
}

/// A minion that fails whatever it is given ends tasks faster than the others, and would draw ever
/// more of them. After two jobs failed there in a row it gets none for a while.
#[test]
fn sick_minion_gets_no_work() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(1)]);
    world.submit(2, vec![step(1)]);
    world.obey();
    world.end_all(EndKind::Failed);
    world.join("m2", |info| info);
    world.pass(300);
    assert_eq!(world.orders.len(), 2);
    assert!(world.orders.iter().all(|order| &*order.minion == "m2"));
}

/// A minion crashes and starts again at its address. Nothing of its earlier life runs, and the work
/// begins anew at once instead of after its lease.
#[test]
fn new_incarnation_frees_the_work_of_the_old_one() {
    let mut world = World::at_work(&["m1"], step(1));
    world.running.clear();
    world.join("m1-b", |info| info);
    world.pass(200);
    assert_matches!(world.orders[..], [ref order] if &*order.minion == "m1-b" && order.run == 2);
    world.say("m1", FromAgent::MinionTerminated { minion: "m1".into() });
    assert_eq!(world.orders.len(), 1);
}

/// A predecessor's start may still be on its way when the successor's copy is not sent. The run is
/// barred before the task begins elsewhere, or it could run at both places.
#[test]
fn successor_bars_what_its_predecessor_may_have_started() {
    let mut world = World::new().with_minions(&["m1"]);
    world.submit(1, vec![step(1)]);
    world.take_over();
    world.join("m1", |info| info);
    world.join("m2", |info| info);
    let copy = world.orders.remove(0);
    world.result(&copy, OrderVerb::Start, OrderOutcome::NotSent);
    world.pass(300);
    assert_matches!(world.orders[..], [ref order] if order.kind == OrderKind::Stop);
}

/// No look at a minion comes for two seconds, as its agent was busy. Its tasks have not moved in
/// what is known of them, but nobody has looked; stopping them would throw their work away.
#[test]
fn tasks_that_nobody_looked_at_are_not_stuck() {
    let mut world = World::new().with_minions(&["m1"]);
    world.percent = 40;
    world.submit(1, vec![step(2)]);
    world.obey();
    world.look("m1");
    for _ in 0..6 {
        world.pass(400);
        world.beat("m1");
    }
    assert!(world.orders.is_empty());
    world.look("m1");
    world.pass(100);
    assert!(world.orders.iter().all(|order| order.kind == OrderKind::Stop));
    assert_eq!(world.orders.len(), 2);
}

/// More jobs come than can ever be held. Those beyond the bound are refused at once and told when to
/// come back; a repeat of one that is held is still accepted, and the refused one never runs.
#[test]
fn jobs_beyond_the_bound_are_refused() {
    let mut world = World::new();
    let most = 5;
    world.coordinator =
        geraniumpost_batch::Coordinator::new(1, world.now).max_open_jobs(most as usize);
    for id in 1..=most {
        world.submit(id, vec![step(1)]);
    }
    let refused = world.submit(most + 1, vec![step(1)]);
    assert_matches!(
        world.answer(refused),
        Some(CallerResponse::Refused { retry_after_ms: 1..=5_000 })
    );
    let repeat = world.submit(1, vec![step(1)]);
    assert_eq!(world.answer(repeat), Some(CallerResponse::Accepted));
    assert_eq!(world.state(most + 1), CallerResponse::Unknown);
}
