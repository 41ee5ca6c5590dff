//! The worker's adapter against the stand-in, with and without faults.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use geraniumpost_outside::{Started, TaskOrder, Worker, WorkerError, WorkerTask};
use geraniumpost_schema::{Name, Resources, TaskState};
use geraniumpost_standin::Standin;
use geraniumpost_standin::http::Down;
use geraniumpost_standin::worker::{
    WorkerEvent, WorkerEventKind, WorkerFaults, WorkerOptions, spawn_in_process,
};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const LONG: Duration = Duration::from_mins(1);

async fn worker() -> (Standin, Worker) {
    let options = WorkerOptions { usage_lag_ms: 0, ..WorkerOptions::default() };
    let standin = spawn_in_process(ANY, ANY, options).await.unwrap();
    let worker = Worker::new(standin.address());
    (standin, worker)
}

fn order(epoch: u64, command: &str) -> TaskOrder {
    TaskOrder {
        epoch,
        lease: LONG,
        need: Resources { milli_cpus: 1000, memory_mb: 512, accelerators: 0 },
        command: command.to_owned(),
        checkpoint: Name::default(),
    }
}

async fn set(standin: &Standin, faults: WorkerFaults) {
    standin.control().set_faults(&faults).await.unwrap();
}

/// Waits until a task is in a state.
async fn wait_for(worker: &Worker, id: &str, state: TaskState) -> WorkerTask {
    for _ in 0..1000 {
        let tasks = worker.list().await.unwrap();
        if let Some(task) = tasks.into_iter().find(|t| t.id.as_str() == id && t.state == state) {
            return task;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{id} never became {state}");
}

async fn kinds(standin: &Standin) -> Vec<WorkerEventKind> {
    let record: Vec<WorkerEvent> = standin.control().read("record").await.unwrap();
    record.into_iter().map(|event| event.kind).collect()
}

/// Names each case of a start while the worker is out of service in some way.
macro_rules! start_while_down {
    ($($(#[$doc:meta])* $name:ident: $faults:expr => $error:pat, ran: $ran:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let (standin, worker) = worker().await;
            let worker = worker.timeout(Duration::from_millis(300));
            set(&standin, $faults).await;
            assert_matches!(worker.start("study", &order(1, "sleep:60000")).await, Err($error));
            set(&standin, WorkerFaults::default()).await;
            assert_eq!(!worker.list().await.unwrap().is_empty(), $ran);
        }
    )*};
}

start_while_down! {
    /// The worker's port refuses connections. The study has not started there and may be given
    /// to another worker.
    start_at_a_refused_port_had_no_effect:
        WorkerFaults { down: Down::Refuse, ..WorkerFaults::default() }
        => WorkerError::Refused(_), ran: false;
    /// The worker says that it is not available, so the study has not started there.
    start_answered_unavailable_had_no_effect:
        WorkerFaults { down: Down::Unavailable, ..WorkerFaults::default() }
        => WorkerError::Refused(_), ran: false;
    /// The worker takes the order and never answers. The study may be running there; given to
    /// another worker it would run in two places.
    start_never_answered_is_uncertain:
        WorkerFaults { down: Down::Hang, ..WorkerFaults::default() }
        => WorkerError::Uncertain(_), ran: false;
    /// The study starts and the worker's reply is lost. It must not pass for a failed start.
    start_with_a_lost_reply_is_uncertain:
        WorkerFaults { lose_replies: 1, ..WorkerFaults::default() }
        => WorkerError::Uncertain(_), ran: true;
}

#[tokio::test]
async fn task_runs_to_its_result_and_is_forgotten() {
    let (standin, worker) = worker().await;
    assert_eq!(worker.start("study", &order(1, "sleep:30")).await, Ok(Started::New));
    let done = wait_for(&worker, "study", TaskState::Done).await;
    assert_eq!((done.epoch, done.result.as_str()), (1, "done study 30000"));
    worker.forget("study").await.unwrap();
    assert_eq!(worker.list().await, Ok(vec![]));
    assert_eq!(worker.forget("study").await, Err(WorkerError::NoSuchTask));
    assert_eq!(kinds(&standin).await, [WorkerEventKind::Started, WorkerEventKind::Done]);
}

/// An agent repeats a start because the first reply was lost. The study must not run twice.
#[tokio::test]
async fn repeated_start_of_one_epoch_runs_once() {
    let (standin, worker) = worker().await;
    assert_eq!(worker.start("study", &order(1, "sleep:60000")).await, Ok(Started::New));
    assert_eq!(worker.start("study", &order(1, "sleep:60000")).await, Ok(Started::AlreadyStarted));
    let other = worker.start("study", &order(2, "sleep:60000")).await;
    assert_eq!(other, Err(WorkerError::WrongState));
    assert_eq!(kinds(&standin).await, [WorkerEventKind::Started]);
}

/// The agent that renews a task's lease dies. The worker ends the task by itself, because its job
/// may by then have been given to another worker.
#[tokio::test]
async fn task_ends_when_its_lease_lapses() {
    let (standin, worker) = worker().await;
    let order = TaskOrder { lease: Duration::from_millis(200), ..order(1, "sleep:60000") };
    worker.start("study", &order).await.unwrap();
    let lapsed = wait_for(&worker, "study", TaskState::Lapsed).await;
    assert_eq!(lapsed.lease_left, Duration::ZERO);
    assert_eq!(worker.renew("study", LONG).await, Err(WorkerError::WrongState));
    assert_eq!(kinds(&standin).await, [WorkerEventKind::Started, WorkerEventKind::Lapsed]);
}

#[tokio::test]
async fn renewed_task_outlives_its_first_lease() {
    let (_standin, worker) = worker().await;
    let order = TaskOrder { lease: Duration::from_millis(500), ..order(1, "sleep:800") };
    worker.start("study", &order).await.unwrap();
    worker.renew("study", LONG).await.unwrap();
    wait_for(&worker, "study", TaskState::Done).await;
}

/// A study is evicted. It must go on from its checkpoint, neither from the start nor behind it.
#[tokio::test]
async fn stopped_task_resumes_from_its_checkpoint() {
    let (standin, worker) = worker().await;
    worker.start("study", &order(1, "sleep:300")).await.unwrap();
    tokio::time::sleep(Duration::from_millis(60)).await;
    let checkpoint = worker.checkpoint("study").await.unwrap();
    worker.stop("study").await.unwrap();
    worker.stop("study").await.unwrap();
    assert_eq!(worker.checkpoint("study").await, Err(WorkerError::WrongState));
    let resumed = TaskOrder { checkpoint: checkpoint.clone(), ..order(2, "sleep:300") };
    assert_eq!(worker.start("study", &resumed).await, Ok(Started::New));
    let done = wait_for(&worker, "study", TaskState::Done).await;
    assert_eq!(done.result, "done study 300000");
    let record: Vec<WorkerEvent> = standin.control().read("record").await.unwrap();
    let saved = record.iter().find(|e| e.kind == WorkerEventKind::Checkpointed).unwrap();
    let again = record.iter().find(|e| e.kind == WorkerEventKind::Started && e.epoch == 2);
    assert_eq!(again.unwrap().progress_us, saved.progress_us);
    assert!(saved.progress_us >= 60_000, "{saved:?}");
}

#[tokio::test]
async fn throttled_task_uses_and_does_less() {
    let (_standin, worker) = worker().await;
    worker.start("study", &order(1, "hog:60000:4")).await.unwrap();
    worker.throttle("study", 250).await.unwrap();
    let task = wait_for(&worker, "study", TaskState::Running).await;
    assert_eq!(task.usage.milli_cpus, 1000);
    worker.throttle("study", 1000).await.unwrap();
    let task = wait_for(&worker, "study", TaskState::Running).await;
    assert_eq!(task.usage.milli_cpus, 4000);
}

/// Something on the VM breaks everything that starts there. Each task fails at once, which makes
/// the worker look idle and draws yet more tasks.
#[tokio::test]
async fn broken_worker_fails_each_start() {
    let (standin, worker) = worker().await;
    set(&standin, WorkerFaults { fail_starts: true, ..WorkerFaults::default() }).await;
    assert_eq!(worker.start("study", &order(1, "sleep:60000")).await, Ok(Started::New));
    wait_for(&worker, "study", TaskState::Failed).await;
}

#[tokio::test]
async fn failing_command_fails() {
    let (_standin, worker) = worker().await;
    worker.start("poison", &order(1, "fail:20")).await.unwrap();
    wait_for(&worker, "poison", TaskState::Failed).await;
    let rejected = worker.start("odd", &order(1, "rm -rf")).await;
    assert_matches!(rejected, Err(WorkerError::Rejected(reason)) if reason.contains("sleep:MS"));
}

/// Two planners give one VM more than it can hold. The worker runs it all and every task slows
/// down; the record must show it, since no answer does.
#[tokio::test]
async fn start_beyond_the_capacity_is_recorded() {
    let (standin, worker) = worker().await;
    for n in 0..64 {
        worker.start(&format!("t{n}"), &order(1, "sleep:60000")).await.unwrap();
    }
    assert!(!kinds(&standin).await.contains(&WorkerEventKind::Overfilled));
    worker.start("t64", &order(1, "sleep:60000")).await.unwrap();
    assert!(kinds(&standin).await.contains(&WorkerEventKind::Overfilled));
}
