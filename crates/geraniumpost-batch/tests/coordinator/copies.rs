//! Second copies of slow runs, and how they end.

use assert_matches::assert_matches;
use geraniumpost_batch::{
    CallerRequest, CallerResponse, EndKind, Feature, FromAgent, JobId, JobState, Order, OrderKind,
    OrderKindTag, OrderOutcome, StepSpec, TaskId,
};
use geraniumpost_schema::Name;

use crate::cluster::{COMPLETED, Cluster, step, task};

/// The task that is slow in these tests.
const SLOW: TaskId = task(2, 0, 0);

/// Returns a cluster of three minions on which twelve runs took a second each.
fn cluster_with_history() -> Cluster {
    let cluster = Cluster::new().with_features(&[Feature::Stragglers]);
    let mut cluster = cluster.with_minions(&["m1", "m2", "m3"]);
    cluster.submit(1, vec![step(12)]);
    cluster.carry_out_orders();
    cluster.advance(1_000);
    cluster.end_all_runs(EndKind::Done);
    cluster.default_percent = 10;
    cluster
}

fn step_with_copies(count: u32) -> StepSpec {
    StepSpec { copies_allowed: true, ..step(count) }
}

/// Submits job 2, and lets its runs work for a second in which they make a tenth of their progress.
fn run_slowly(cluster: &mut Cluster, step: StepSpec) {
    cluster.submit(2, vec![step]);
    cluster.carry_out_orders();
    cluster.advance(1_000);
    for minion in ["m1", "m2", "m3"] {
        cluster.poll(minion);
    }
    cluster.advance(100);
}

/// Returns a cluster in which a task has a run, and the order for its copy.
fn cluster_with_copy() -> (Cluster, Name, Order) {
    let mut cluster = cluster_with_history();
    run_slowly(&mut cluster, step_with_copies(1));
    let original = cluster.running_tasks()[0].1.clone();
    let copy = cluster.orders.first().cloned().expect("a copy is ordered");
    assert_matches!(copy.kind, OrderKind::Start { .. });
    assert_eq!((copy.task, copy.run), (SLOW, 2));
    assert_ne!(copy.minion, original);
    (cluster, original, copy)
}

fn starts(cluster: &Cluster) -> usize {
    let is_start = |order: &&Order| matches!(order.kind, OrderKind::Start { .. });
    cluster.orders.iter().filter(is_start).count()
}

fn end(cluster: &mut Cluster, minion: &Name, kind: EndKind) {
    cluster.end_run(minion, SLOW, kind);
    cluster.poll(minion);
}

/// A run takes many times as long as others of its class. Its copy ends first, completes the task,
/// and the slow run is stopped.
#[test]
fn long_tailed_step_gets_a_copy_while_room_is_free() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.carry_out_orders();
    assert_eq!(cluster.running_tasks().len(), 2);
    end(&mut cluster, &copy.minion, EndKind::Done);
    assert_eq!(cluster.job_state(2), COMPLETED);
    assert_matches!(cluster.orders[..], [ref stop] if stop.kind == OrderKind::Stop
        && stop.minion == original && stop.run == 1);
    cluster.carry_out_orders();
    cluster.poll(&original);
    assert_eq!(cluster.coordinator.job_and_run_counts().1, 0);
    let counts = cluster.coordinator.copy_counts();
    assert_eq!((counts.started, counts.won, counts.wasted), (1, 1, 0));
}

/// The slow run ends first after all. Its copy is stopped.
#[test]
fn copy_is_stopped_when_the_slow_run_ends_first() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.carry_out_orders();
    end(&mut cluster, &original, EndKind::Done);
    assert_eq!(cluster.job_state(2), COMPLETED);
    assert_matches!(cluster.orders[..], [ref stop] if stop.kind == OrderKind::Stop
        && stop.minion == copy.minion && stop.run == 2);
    cluster.carry_out_orders();
    cluster.poll(&copy.minion);
    assert_eq!(cluster.coordinator.copy_counts().wasted, 1);
    assert!(cluster.running_tasks().is_empty());
}

/// Processors that a copy would use are wanted by tasks that wait.
#[test]
fn no_copy_while_tasks_wait() {
    let mut cluster = cluster_with_history();
    let mut large = step(3);
    large.demand.milli_cpus = 16_000;
    cluster.submit(2, vec![step_with_copies(1)]);
    cluster.submit(3, vec![large]);
    cluster.carry_out_orders();
    cluster.advance(1_000);
    for minion in ["m1", "m2", "m3"] {
        cluster.poll(minion);
    }
    cluster.advance(1_000);
    assert_eq!(cluster.running_tasks().len(), 3, "one of the large tasks waits");
    assert_eq!(starts(&cluster), 0);
}

/// Hardly any processors are free, and the next submission will want them.
#[test]
fn no_copy_while_few_processors_are_free() {
    let mut cluster = cluster_with_history();
    let mut large = step(3);
    large.demand.milli_cpus = 14_900;
    cluster.submit(3, vec![large]);
    run_slowly(&mut cluster, step_with_copies(1));
    cluster.advance(500);
    assert_eq!(cluster.running_tasks().len(), 4);
    assert_eq!(starts(&cluster), 0);
}

/// Many runs are slow at once, as when their common input is. Copies of all would double the load.
#[test]
fn few_runs_have_copies_at_once() {
    let mut cluster = cluster_with_history();
    run_slowly(&mut cluster, step_with_copies(20));
    cluster.advance(500);
    assert_eq!(starts(&cluster), 2);
}

/// Defines tests of steps whose runs get no copy however slow they are.
macro_rules! steps_without_copies {
    ($($(#[$doc:meta])* $name:ident: $step:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut cluster = cluster_with_history();
            run_slowly(&mut cluster, $step);
            cluster.advance(500);
            assert_eq!(cluster.running_tasks().len(), 1);
            assert_eq!(starts(&cluster), 0);
        }
    )*};
}

steps_without_copies! {
    step_that_forbids_copies_gets_none: step(1);
    gang_gets_no_copies: StepSpec { gang: true, ..step_with_copies(1) };
    persistent_step_gets_no_copies: StepSpec { persistent: true, ..step_with_copies(1) };
    best_effort_step_gets_no_copies: StepSpec { best_effort: true, ..step_with_copies(1) };
    /// The limit counts runs, and a copy would be one more of them.
    step_with_a_limit_per_minion_gets_no_copies:
        StepSpec { max_per_minion: 1, ..step_with_copies(1) };
}

/// Both runs fail. That is two attempts, and the job has no third.
#[test]
fn failed_copy_counts_as_an_attempt() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.carry_out_orders();
    end(&mut cluster, &copy.minion, EndKind::Failed);
    cluster.advance(500);
    assert_eq!(starts(&cluster), 0, "the task has one attempt left, and its run uses it");
    end(&mut cluster, &original, EndKind::Failed);
    assert_eq!(cluster.job_state(2), CallerResponse::State(JobState::Failed));
}

/// The slow run fails, and the copy is the task's next attempt.
#[test]
fn copy_takes_the_place_of_a_failed_run() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.carry_out_orders();
    end(&mut cluster, &original, EndKind::Failed);
    cluster.advance(2_000);
    assert_eq!(starts(&cluster), 0);
    end(&mut cluster, &copy.minion, EndKind::Done);
    assert_eq!(cluster.job_state(2), COMPLETED);
}

/// The minion of the slow run crashes, and soon after it the coordinator. The successor finds the
/// copy in the record, and lets it work.
#[test]
fn copy_survives_its_original_and_a_takeover() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.carry_out_orders();
    cluster.running.remove(&original);
    cluster.send(
        &original,
        FromAgent::MinionTerminated { minion: original.clone(), crashed: true, replaced_by: None },
    );
    cluster.take_over();
    cluster.join(&copy.minion, |info| info);
    cluster.carry_out_orders();
    assert_eq!(cluster.running_tasks(), [(SLOW, copy.minion.clone(), 2)]);
    end(&mut cluster, &copy.minion, EndKind::Done);
    assert_eq!(cluster.job_state(2), COMPLETED);
}

/// The minion of a copy crashes. The slow run goes on, and the copy's resources are released.
#[test]
fn lost_copy_leaves_the_slow_run_alone() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.carry_out_orders();
    cluster.running.remove(&copy.minion);
    let lost = copy.minion.clone();
    cluster.send(
        &lost,
        FromAgent::MinionTerminated { minion: lost.clone(), crashed: true, replaced_by: None },
    );
    assert_eq!(cluster.running_tasks(), [(SLOW, original.clone(), 1)]);
    assert_eq!(cluster.coordinator.copy_counts().wasted, 1);
    end(&mut cluster, &original, EndKind::Done);
    assert_eq!(cluster.job_state(2), COMPLETED);
}

/// The link to a copy's minion breaks for longer than a lease. The minion ends the copy, and the
/// task's other run goes on undisturbed.
#[test]
fn lease_of_a_copy_expires() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.carry_out_orders();
    cluster.disconnect_agent(&copy.minion);
    cluster.running.remove(&copy.minion);
    for _ in 0..80 {
        cluster.advance(100);
        // The run makes progress, but slowly.
        let percent = cluster.default_percent + 1;
        cluster.default_percent = percent.min(90);
        cluster.poll(&original);
    }
    assert_eq!(cluster.running_tasks()[0], (SLOW, original.clone(), 1));
    assert_eq!(cluster.coordinator.copy_counts().wasted, 1);
}

/// A coordinator is lost while a copy runs. Its successor does not know the copy and stops it, and
/// the task's own run goes on.
#[test]
fn successor_stops_a_copy_that_it_does_not_know() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.carry_out_orders();
    cluster.take_over();
    for minion in [&original, &copy.minion] {
        cluster.join(minion, |info| info);
    }
    assert_matches!(cluster.orders[..], [ref stop] if stop.kind == OrderKind::Stop
        && stop.minion == copy.minion && stop.run == 2);
    cluster.carry_out_orders();
    cluster.poll(&copy.minion);
    assert_eq!(cluster.running_tasks(), [(SLOW, original.clone(), 1)]);
    end(&mut cluster, &original, EndKind::Done);
    assert_eq!(cluster.job_state(2), COMPLETED);
}

/// A copy ends as done while no coordinator is there. The successor knows only the task's own run,
/// and would start a task again that is done if that run failed.
#[test]
fn successor_completes_a_task_whose_copy_has_ended() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.carry_out_orders();
    cluster.end_run(&copy.minion, SLOW, EndKind::Done);
    cluster.take_over();
    for minion in [&original, &copy.minion] {
        cluster.join(minion, |info| info);
    }
    assert_eq!(cluster.job_state(2), COMPLETED);
    cluster.carry_out_orders();
    assert!(cluster.running_tasks().is_empty());
}

/// A copy fails while no coordinator is there, and then the task's own run. These are two attempts.
#[test]
fn successor_counts_a_copy_that_has_failed() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.carry_out_orders();
    cluster.end_run(&copy.minion, SLOW, EndKind::Failed);
    for _ in 0..2 {
        // The second successor sees the same end only if it is not acknowledged yet.
        cluster.take_over();
        for minion in [&original, &copy.minion] {
            cluster.join(minion, |info| info);
        }
    }
    assert_eq!(cluster.job_state(2), CallerResponse::State(JobState::Running));
    end(&mut cluster, &original, EndKind::Failed);
    assert_eq!(cluster.job_state(2), CallerResponse::State(JobState::Failed));
}

/// The minion of the slow run does not carry out the stop. The job is completed nevertheless, the
/// stop is repeated, and the run keeps its processors until it has ended.
#[test]
fn loser_keeps_its_processors_until_its_stop_is_carried_out() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.carry_out_orders();
    end(&mut cluster, &copy.minion, EndKind::Done);
    assert_eq!(cluster.job_state(2), COMPLETED);
    cluster.orders.clear();
    let mut whole = step(3);
    whole.demand.milli_cpus = 16_000;
    cluster.submit(3, vec![whole]);
    assert_eq!(starts(&cluster), 2, "the minion of the slow run has too few free processors");
    cluster.advance(1_600);
    assert!(cluster.orders.iter().any(|order| order.kind == OrderKind::Stop && order.run == 1));
    cluster.carry_out_orders();
    cluster.poll(&original);
    assert_eq!(starts(&cluster), 1);
    assert_eq!(cluster.job_state(2), COMPLETED);
}

/// The start of a copy has no response, and is carried out after the task is done. The copy is
/// stopped as soon as its minion lists it.
#[test]
fn copy_that_starts_after_its_task_is_done_is_stopped() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.orders.clear();
    cluster.report_result(&copy, OrderKindTag::Start, OrderOutcome::NoResponse);
    end(&mut cluster, &original, EndKind::Done);
    assert_eq!(cluster.job_state(2), COMPLETED);
    cluster.orders.clear();
    cluster.running.entry(copy.minion.clone()).or_default().insert(SLOW, copy.run);
    cluster.poll(&copy.minion);
    cluster.advance(1_600);
    assert!(cluster.orders.iter().all(|order| order.kind == OrderKind::Stop));
    cluster.carry_out_orders();
    cluster.poll(&copy.minion);
    assert!(cluster.running_tasks().is_empty());
    assert_eq!(cluster.job_state(2), COMPLETED);
}

/// A minion refuses a copy. The slow run goes on, and the next copy has another number.
#[test]
fn refused_copy_is_dropped() {
    let (mut cluster, original, copy) = cluster_with_copy();
    cluster.orders.clear();
    cluster.report_result(&copy, OrderKindTag::Start, OrderOutcome::NoCapacity);
    cluster.advance(200);
    assert_matches!(cluster.orders.first(), Some(next) if next.run == 3);
    assert_eq!(cluster.running_tasks(), [(SLOW, original, 1)]);
}

/// The caller cancels the job. Both runs are stopped.
#[test]
fn cancelled_job_stops_its_copies() {
    let (mut cluster, _, _) = cluster_with_copy();
    cluster.carry_out_orders();
    cluster.request(CallerRequest::Cancel(JobId(2)));
    cluster.carry_out_orders();
    assert!(cluster.running_tasks().is_empty());
    for minion in ["m1", "m2", "m3"] {
        cluster.poll(minion);
    }
    assert_eq!(cluster.coordinator.job_and_run_counts().1, 0);
    assert_eq!(cluster.job_state(2), CallerResponse::State(JobState::Cancelled));
}

/// One task of a step ends by its copy while others still run. The end of its slow run changes
/// nothing then.
#[test]
fn end_of_the_loser_does_not_restart_a_done_task() {
    let (mut cluster, original, copy) = {
        let mut cluster = cluster_with_history();
        run_slowly(&mut cluster, step_with_copies(2));
        let copy = cluster.orders.iter().find(|order| order.task == SLOW).cloned();
        let copy = copy.expect("a copy is ordered");
        let running = cluster.running_tasks();
        let (_, original, _) = running.into_iter().find(|(id, ..)| *id == SLOW).expect("it runs");
        (cluster, original, copy)
    };
    cluster.carry_out_orders();
    end(&mut cluster, &copy.minion, EndKind::Done);
    cluster.carry_out_orders();
    cluster.poll(&original);
    cluster.advance(500);
    assert!(cluster.running_tasks().iter().all(|(id, ..)| *id != SLOW));
    cluster.carry_out_orders();
    assert!(cluster.running_tasks().iter().all(|(id, ..)| *id != SLOW));
    assert_eq!(cluster.job_state(2), CallerResponse::State(JobState::Running));
}
