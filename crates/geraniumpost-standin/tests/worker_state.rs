//! State of the stand-in worker, with a simulated clock.

use geraniumpost_standin::worker::{
    StartOrder, StartResult, TaskState, WorkerEventKind, WorkerOptions, WorkerState,
};

fn worker() -> WorkerState {
    WorkerState::new(WorkerOptions { usage_lag_ms: 100, ..WorkerOptions::default() })
}

fn order(command: &str, lease_ms: u64, checkpoint: &str) -> StartOrder {
    StartOrder {
        epoch: 1,
        lease_ms,
        need: geraniumpost_standin::worker::Resources { milli_cpus: 1000, ..Default::default() },
        command: command.to_owned(),
        checkpoint: checkpoint.to_owned(),
    }
}

/// Defines one test per task that is advanced only long after its end.
macro_rules! advanced_late {
    ($($(#[$doc:meta])* $name:ident: $command:expr, $lease_ms:expr => $state:expr, $at_us:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut worker = worker();
            worker.start("t", &order($command, $lease_ms, ""), false, 1000).unwrap();
            worker.advance(90_000_000);
            assert_eq!(worker.list(90_000_000)[0].state, $state);
            assert_eq!(worker.take_events().last().unwrap().at_us, $at_us);
        }
    )*};
}

advanced_late! {
    /// Guards against a task that is reported as done although its lease expired first, while the
    /// worker process was paused.
    lease_that_expired_before_the_work_ended: "sleep:2000", 1000 => TaskState::Lapsed, 1_001_000;
    /// Guards against a task that is reported as lapsed although its work ended first.
    work_that_ended_before_the_lease_is_done: "sleep:2000", 3000 => TaskState::Done, 2_001_000;
    /// Guards against a failed task that is reported as lapsed.
    failure_before_the_lease_is_a_failure: "fail:500", 3000 => TaskState::Failed, 501_000;
}

#[test]
fn resumed_task_does_only_the_remaining_work() {
    let mut worker = worker();
    worker.start("t", &order("sleep:1000", 60_000, "t-0-900000"), false, 0).unwrap();
    worker.advance(99_999);
    assert_eq!(worker.list(99_999)[0].state, TaskState::Running);
    worker.advance(100_000);
    assert_eq!(worker.list(100_000)[0].state, TaskState::Done);
}

#[test]
fn throttled_task_takes_longer_and_usage_lags() {
    let mut worker = worker();
    worker.start("t", &order("sleep:1000", 60_000, ""), false, 0).unwrap();
    assert_eq!(worker.list(99_999)[0].usage.milli_cpus, 0);
    assert_eq!(worker.list(100_000)[0].usage.milli_cpus, 1000);
    worker.advance(500_000);
    worker.throttle("t", 500, 500_000).unwrap();
    assert_eq!(worker.list(599_999)[0].usage.milli_cpus, 1000);
    assert_eq!(worker.list(600_000)[0].usage.milli_cpus, 500);
    worker.advance(1_499_999);
    assert_eq!(worker.list(1_499_999)[0].state, TaskState::Running);
    worker.advance(1_500_000);
    assert_eq!(worker.list(1_500_000)[0].state, TaskState::Done);
}

#[test]
fn ended_task_is_replaced_only_by_a_new_epoch() {
    let mut worker = worker();
    worker.start("t", &order("sleep:10", 60_000, ""), false, 0).unwrap();
    worker.advance(10_000);
    let repeated = worker.start("t", &order("sleep:10", 60_000, ""), false, 20_000);
    assert_eq!(repeated, Ok(StartResult::Repeated));
    let next = StartOrder { epoch: 2, ..order("sleep:10", 60_000, "") };
    assert_eq!(worker.start("t", &next, false, 30_000), Ok(StartResult::New));
    worker.advance(50_000);
    let kinds: Vec<_> = worker.take_events().into_iter().map(|e| (e.epoch, e.kind)).collect();
    let (started, done) = (WorkerEventKind::Started, WorkerEventKind::Done);
    assert_eq!(kinds, [(1, started), (1, done), (2, started), (2, done)]);
}
