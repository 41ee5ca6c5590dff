//! Adapter to workers, tested with the stand-in worker, with and without injected faults.

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

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const LONG_LEASE: Duration = Duration::from_mins(1);

async fn worker() -> (Standin, Worker) {
    let options = WorkerOptions { usage_lag_ms: 0, ..WorkerOptions::default() };
    let standin = spawn_in_process(ANY_PORT, ANY_PORT, options).await.unwrap();
    let worker = Worker::new(standin.address());
    (standin, worker)
}

fn order(epoch: u64, command: &str) -> TaskOrder {
    TaskOrder {
        epoch,
        lease: LONG_LEASE,
        need: Resources { milli_cpus: 1000, memory_mb: 512, accelerators: 0 },
        command: command.to_owned(),
        checkpoint: Name::default(),
    }
}

async fn set_faults(standin: &Standin, faults: WorkerFaults) {
    standin.control().set_faults(&faults).await.unwrap();
}

/// Waits until the task `id` is in `state`, and returns it.
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

/// Defines one test for each way in which the worker is out of service during a start.
macro_rules! start_while_down {
    ($($(#[$doc:meta])* $name:ident: $faults:expr => $error:pat, ran: $ran:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let (standin, worker) = worker().await;
            let worker = worker.timeout(Duration::from_millis(300));
            set_faults(&standin, $faults).await;
            assert_matches!(worker.start("study", &order(1, "sleep:60000")).await, Err($error));
            set_faults(&standin, WorkerFaults::default()).await;
            assert_eq!(!worker.list().await.unwrap().is_empty(), $ran);
        }
    )*};
}

start_while_down! {
    /// Guards against a refused connection that is taken for a possible start; the study may be
    /// started on another worker.
    start_at_a_refused_port_had_no_effect:
        WorkerFaults { down: Down::Refuse, ..WorkerFaults::default() }
        => WorkerError::Refused(_), ran: false;
    /// Guards against status 503 that is taken for a possible start; the worker sends it only for
    /// calls without effect.
    start_answered_unavailable_had_no_effect:
        WorkerFaults { down: Down::Unavailable, ..WorkerFaults::default() }
        => WorkerError::Refused(_), ran: false;
    /// Guards against a timeout that is taken for a failed start; the study may be running, and on
    /// another worker it would run twice.
    start_never_answered_is_uncertain:
        WorkerFaults { down: Down::Hang, ..WorkerFaults::default() }
        => WorkerError::Uncertain(_), ran: false;
    /// Guards against a lost reply that is taken for a failed start; the study is running.
    start_with_a_lost_reply_is_uncertain:
        WorkerFaults { lose_replies: 1, ..WorkerFaults::default() }
        => WorkerError::Uncertain(_), ran: true;
}

#[tokio::test]
async fn task_completes_and_is_forgotten() {
    let (standin, worker) = worker().await;
    assert_eq!(worker.start("study", &order(1, "sleep:30")).await, Ok(Started::New));
    let done = wait_for(&worker, "study", TaskState::Done).await;
    assert_eq!((done.epoch, done.result.as_str()), (1, "done study 30000"));
    worker.forget("study").await.unwrap();
    assert_eq!(worker.list().await, Ok(vec![]));
    assert_eq!(worker.forget("study").await, Err(WorkerError::NoSuchTask));
    assert_eq!(kinds(&standin).await, [WorkerEventKind::Started, WorkerEventKind::Done]);
}

/// Guards against a second run of a study whose start an agent repeats after a lost reply.
#[tokio::test]
async fn repeated_start_of_one_epoch_runs_once() {
    let (standin, worker) = worker().await;
    assert_eq!(worker.start("study", &order(1, "sleep:60000")).await, Ok(Started::New));
    assert_eq!(worker.start("study", &order(1, "sleep:60000")).await, Ok(Started::AlreadyStarted));
    let other = worker.start("study", &order(2, "sleep:60000")).await;
    assert_eq!(other, Err(WorkerError::WrongState));
    assert_eq!(kinds(&standin).await, [WorkerEventKind::Started]);
}

/// Guards against a task that runs on after the agent that renews its lease has failed; its job may
/// have been started on another worker in the meantime.
#[tokio::test]
async fn task_ends_when_its_lease_expires() {
    let (standin, worker) = worker().await;
    let order = TaskOrder { lease: Duration::from_millis(200), ..order(1, "sleep:60000") };
    worker.start("study", &order).await.unwrap();
    let lapsed = wait_for(&worker, "study", TaskState::Lapsed).await;
    assert_eq!(lapsed.lease_left, Duration::ZERO);
    assert_eq!(worker.renew("study", LONG_LEASE).await, Err(WorkerError::WrongState));
    assert_eq!(kinds(&standin).await, [WorkerEventKind::Started, WorkerEventKind::Lapsed]);
}

#[tokio::test]
async fn renewed_task_runs_beyond_its_first_lease() {
    let (_standin, worker) = worker().await;
    let order = TaskOrder { lease: Duration::from_millis(500), ..order(1, "sleep:800") };
    worker.start("study", &order).await.unwrap();
    worker.renew("study", LONG_LEASE).await.unwrap();
    wait_for(&worker, "study", TaskState::Done).await;
}

/// Guards against an evicted study that resumes at another point than its checkpoint: earlier, it
/// repeats work; later, it skips work.
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
    let checkpointed = record.iter().find(|e| e.kind == WorkerEventKind::Checkpointed).unwrap();
    let restarted = record.iter().find(|e| e.kind == WorkerEventKind::Started && e.epoch == 2);
    assert_eq!(restarted.unwrap().progress_us, checkpointed.progress_us);
    assert!(checkpointed.progress_us >= 60_000, "{checkpointed:?}");
}

#[tokio::test]
async fn throttled_task_uses_fewer_processors() {
    let (_standin, worker) = worker().await;
    worker.start("study", &order(1, "hog:60000:4")).await.unwrap();
    worker.throttle("study", 250).await.unwrap();
    let task = wait_for(&worker, "study", TaskState::Running).await;
    assert_eq!(task.usage.milli_cpus, 1000);
    worker.throttle("study", 1000).await.unwrap();
    let task = wait_for(&worker, "study", TaskState::Running).await;
    assert_eq!(task.usage.milli_cpus, 4000);
}

/// Reproduces a VM on which each task fails immediately after its start. Its worker looks idle, so
/// that a scheduler without quarantine would place further tasks there.
#[tokio::test]
async fn broken_worker_fails_each_start() {
    let (standin, worker) = worker().await;
    set_faults(&standin, WorkerFaults { fail_starts: true, ..WorkerFaults::default() }).await;
    assert_eq!(worker.start("study", &order(1, "sleep:60000")).await, Ok(Started::New));
    wait_for(&worker, "study", TaskState::Failed).await;
}

#[tokio::test]
async fn task_of_a_failing_command_fails() {
    let (_standin, worker) = worker().await;
    worker.start("poison", &order(1, "fail:20")).await.unwrap();
    wait_for(&worker, "poison", TaskState::Failed).await;
    let rejected = worker.start("odd", &order(1, "rm -rf")).await;
    assert_matches!(rejected, Err(WorkerError::Rejected(reason)) if reason.contains("sleep:MS"));
}

/// Guards against undetected overcommitment, for example by two planners: the worker starts all
/// tasks and slows them down, so that only its record shows it.
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
