//! Placement rules of steps: dependencies, gangs, spread, labels and repetitions.

use geraniumpost_batch::{
    CallerRequest, CallerResponse, EndKind, JobId, JobSpec, OrderKind, StepSpec,
};

use crate::cluster::{COMPLETED, Cluster, step, task, terms};

#[test]
fn step_starts_after_the_steps_it_depends_on() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let second = StepSpec { after: vec![0], ..step(1) };
    cluster.submit(1, vec![step(2), second]);
    cluster.carry_out_orders();
    cluster.end_run(&"m1".into(), task(1, 0, 0), EndKind::Done);
    cluster.poll("m1");
    assert!(cluster.orders.is_empty());
    cluster.end_run(&"m1".into(), task(1, 0, 1), EndKind::Done);
    cluster.poll("m1");
    assert_eq!(cluster.orders.len(), 1);
    assert_eq!(cluster.orders[0].task, task(1, 1, 0));
    cluster.carry_out_orders();
    cluster.end_all_runs(EndKind::Done);
    assert_eq!(cluster.job_state(1), COMPLETED);
}

/// Members of a gang that start before the others would hold resources while waiting for them, so
/// no member starts until there is capacity for all.
#[test]
fn gang_starts_whole_or_not_at_all() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let gang = StepSpec { gang: true, ..step(20) };
    cluster.submit(1, vec![gang]);
    assert!(cluster.orders.is_empty());
    cluster.join("m2", |info| info);
    cluster.advance(200);
    assert_eq!(cluster.orders.len(), 20);
    assert!(cluster.orders.iter().all(|order| order.run == 1));
}

/// One member of a gang fails, which ends the others. All members restart with the same run number.
#[test]
fn gang_restarts_together_after_a_failure() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    cluster.submit(1, vec![StepSpec { gang: true, ..step(3) }]);
    cluster.carry_out_orders();
    let runs = cluster.running_tasks();
    for (at, (task, minion, _)) in runs.iter().enumerate() {
        cluster.end_run(
            minion,
            *task,
            if at == 0 { EndKind::Failed } else { EndKind::GangMemberEnded },
        );
    }
    cluster.poll("m1");
    cluster.poll("m2");
    cluster.advance(300);
    let starts = cluster.orders.iter().filter(|order| order.kind != OrderKind::Stop);
    let starts: Vec<_> = starts.map(|order| order.run).collect();
    assert_eq!(starts, [2, 2, 2]);
}

#[test]
fn spread_limit_applies_per_minion() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    cluster.submit(1, vec![StepSpec { max_per_minion: 2, ..step(6) }]);
    cluster.carry_out_orders();
    assert_eq!(cluster.running["m1"].len(), 2);
    assert_eq!(cluster.running["m2"].len(), 2);
}

#[test]
fn tasks_run_only_on_minions_with_the_required_label() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.join("m2", |mut info| {
        info.labels = vec!["b".into(), "r2".into()];
        info
    });
    cluster.submit(1, vec![StepSpec { required_label: "b".into(), ..step(1) }]);
    assert_eq!(&*cluster.orders[0].minion, "m2");
}

#[test]
fn tasks_run_in_the_rack_of_their_data() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.join("m2", |mut info| {
        info.labels = vec!["a".into(), "r2".into()];
        info
    });
    cluster.submit(1, vec![StepSpec { data_rack: "r2".into(), ..step(3) }]);
    assert!(cluster.orders.iter().all(|order| &*order.minion == "m2"));
}

#[test]
fn no_minion_is_overcommitted() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(40)]);
    assert_eq!(cluster.orders.len(), 16);
}

/// Repetitions start when they are due, and the job completes after the last repetition.
#[test]
fn repetitions_start_when_due() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    let spec = JobSpec {
        payload: "work".into(),
        steps: vec![step(1)],
        repeat: 2,
        first_due_ms: cluster.now.wall_ms + 1_000,
        interval_ms: 2_000,
    };
    cluster.request(CallerRequest::Submit { job: JobId(1), spec, terms: terms() });
    cluster.advance(900);
    assert!(cluster.orders.is_empty());
    cluster.advance(200);
    assert_eq!(cluster.orders.len(), 1);
    cluster.carry_out_orders();
    cluster.end_all_runs(EndKind::Done);
    assert_ne!(cluster.job_state(1), COMPLETED);
    cluster.advance(2_000);
    assert_eq!(cluster.orders.len(), 1);
    assert_eq!(cluster.orders[0].task.occurrence, 1);
    cluster.carry_out_orders();
    cluster.end_all_runs(EndKind::Done);
    assert_eq!(cluster.job_state(1), COMPLETED);
}

/// A step that depends on itself could never start, and its caller would wait forever.
#[test]
fn step_that_depends_on_itself_is_rejected() {
    let mut cluster = Cluster::new();
    let request_id = cluster.submit(1, vec![StepSpec { after: vec![0], ..step(1) }]);
    assert_eq!(cluster.response(request_id), Some(CallerResponse::Invalid));
    assert_eq!(cluster.job_state(1), CallerResponse::Unknown);
}

#[test]
fn pending_counts_jobs_without_running_tasks() {
    let mut cluster = Cluster::new().with_minions(&["m1"]);
    cluster.submit(1, vec![step(1)]);
    cluster.submit(2, vec![step(40)]);
    cluster.submit(3, vec![step(1)]);
    let pending = |cluster: &mut Cluster| {
        let request_id = cluster.request(CallerRequest::Pending("studies".into()));
        cluster.response(request_id)
    };
    assert_eq!(pending(&mut cluster), Some(CallerResponse::Pending(3)));
    cluster.carry_out_orders();
    assert_eq!(pending(&mut cluster), Some(CallerResponse::Pending(1)));
}

/// Two members of a gang fail in the same run. Together they count as one failed attempt; the
/// queue allows two attempts.
#[test]
fn gang_failure_counts_one_attempt_per_run() {
    let mut cluster = Cluster::new().with_minions(&["m1", "m2"]);
    cluster.submit(1, vec![StepSpec { gang: true, ..step(3) }]);
    cluster.carry_out_orders();
    for (at, (task, minion, _)) in cluster.running_tasks().iter().enumerate() {
        cluster.end_run(
            minion,
            *task,
            if at < 2 { EndKind::Failed } else { EndKind::GangMemberEnded },
        );
    }
    cluster.poll("m1");
    cluster.poll("m2");
    cluster.advance(300);
    assert_eq!(cluster.job_state(1), CallerResponse::State(geraniumpost_batch::JobState::Running));
    cluster.carry_out_orders();
    let running = cluster.running_tasks();
    assert_eq!(running.iter().map(|(.., run)| *run).collect::<Vec<_>>(), [2, 2, 2]);
    let (task, minion, _) = running[0].clone();
    cluster.end_run(&minion, task, EndKind::Failed);
    cluster.poll(&minion);
    assert_eq!(cluster.job_state(1), CallerResponse::State(geraniumpost_batch::JobState::Failed));
}
