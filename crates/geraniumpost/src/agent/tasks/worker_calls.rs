//! Calls to the worker's task interface and what their outcomes mean to the ledger.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use geraniumpost_core::jobs::{LedgerAction, LedgerConfig, LedgerEvent, WorkerTask};
use geraniumpost_outside::{TaskOrder, Worker, WorkerError};
use geraniumpost_schema::{Name, StartTask};
use tokio::sync::mpsc;

use crate::Clock;

/// Makes one call and sends its outcome, if the ledger can conclude anything from it.
///
/// A call whose answer is lost has no outcome, but for a start: the ledger repeats it, or learns from
/// the next list.
pub(super) async fn make(
    worker: &Worker,
    call: LedgerAction,
    clock: Clock,
    hold_until: &AtomicU64,
    answers: &mpsc::UnboundedSender<LedgerEvent>,
) {
    // Asked again here, as the process may have been paused since the ledger decided.
    let held = clock.now().0 < hold_until.load(Ordering::SeqCst);
    let outcome = match call {
        LedgerAction::Renew { .. } if !held => None,
        LedgerAction::Start(StartTask { job, epoch, .. }) if !held => {
            let reason = "the hold has lapsed".to_owned();
            Some(LedgerEvent::StartRefused { job, epoch, reason })
        }
        LedgerAction::Start(order) => Some(start(worker, order).await),
        LedgerAction::Renew { job, epoch } => Some(renew(worker, job, epoch).await),
        LedgerAction::Checkpoint { job, epoch } => Some(checkpoint(worker, job, epoch).await),
        LedgerAction::Stop { job, epoch } => stop(worker, job, epoch, clock).await,
        LedgerAction::Throttle { job, permille, .. } => {
            report("throttle", &job, worker.throttle(&job, permille).await);
            None
        }
        LedgerAction::Forget { job, .. } => {
            report("forget", &job, worker.forget(&job).await);
            None
        }
        LedgerAction::List => list(worker, clock).await,
        LedgerAction::Report(_) | LedgerAction::Inventory(_) => None,
    };
    if let Some(event) = outcome {
        // The ledger's task ends only with the process.
        let _ = answers.send(event);
    }
}

fn lease() -> Duration {
    Duration::from_millis(LedgerConfig::default().worker_lease_ms)
}

fn report(what: &str, job: &Name, result: Result<(), WorkerError>) {
    if let Err(error) = result {
        spdlog::warn!("job {job}: {what}: {error}");
    }
}

async fn start(worker: &Worker, order: StartTask) -> LedgerEvent {
    let StartTask { job, epoch, need, command, checkpoint, .. } = order;
    let order = TaskOrder { epoch, lease: lease(), need, command, checkpoint };
    match worker.start(&job, &order).await {
        Ok(_) => LedgerEvent::Started { job, epoch },
        Err(WorkerError::Uncertain(why)) => {
            spdlog::warn!("job {job} epoch {epoch}: the start is uncertain: {why}");
            LedgerEvent::StartUncertain { job, epoch }
        }
        Err(error) => {
            let reason = error.to_string();
            LedgerEvent::StartRefused { job, epoch, reason }
        }
    }
}

async fn renew(worker: &Worker, job: Name, epoch: u64) -> LedgerEvent {
    report("renewal", &job, worker.renew(&job, lease()).await);
    LedgerEvent::Renewed { job, epoch }
}

async fn checkpoint(worker: &Worker, job: Name, epoch: u64) -> LedgerEvent {
    match worker.checkpoint(&job).await {
        Ok(checkpoint) => LedgerEvent::Checkpointed { job, epoch, checkpoint },
        Err(error) => {
            spdlog::warn!("job {job} epoch {epoch}: checkpoint: {error}");
            LedgerEvent::CheckpointFailed { job, epoch }
        }
    }
}

/// Ends a task and lists how it ended: it may have completed just before, and a result taken for a
/// stop would be computed a second time.
async fn stop(worker: &Worker, job: Name, epoch: u64, clock: Clock) -> Option<LedgerEvent> {
    match worker.stop(&job).await {
        Ok(()) | Err(WorkerError::WrongState) => list(worker, clock).await,
        Err(WorkerError::NoSuchTask) => Some(LedgerEvent::Stopped { job, epoch }),
        Err(error) => {
            spdlog::warn!("job {job} epoch {epoch}: stop: {error}");
            None
        }
    }
}

async fn list(worker: &Worker, clock: Clock) -> Option<LedgerEvent> {
    let requested_at = clock.now();
    match worker.list().await {
        Ok(tasks) => {
            let tasks = tasks.into_iter().map(listed).collect();
            Some(LedgerEvent::Listed { requested_at, tasks })
        }
        Err(error) => {
            spdlog::warn!("listing the worker's tasks: {error}");
            None
        }
    }
}

fn listed(task: geraniumpost_outside::WorkerTask) -> WorkerTask {
    WorkerTask {
        job: task.id,
        epoch: task.epoch,
        state: task.state,
        checkpoint: task.checkpoint,
        result: task.result,
        usage: task.usage,
    }
}
