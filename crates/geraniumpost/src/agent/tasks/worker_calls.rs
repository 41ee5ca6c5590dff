//! Calls to the worker's task interface, and conversion of their outcomes to events of the ledger.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use geraniumpost_core::jobs::{LedgerAction, LedgerConfig, LedgerEvent, WorkerTask};
use geraniumpost_outside::{TaskOrder, Worker, WorkerError};
use geraniumpost_schema::{Name, StartTask};
use tokio::sync::mpsc;

use crate::Clock;

/// Makes a call and sends the resulting event, if there is one, to `answers`.
///
/// A call whose answer is lost causes no event, except for a start. The ledger repeats the call or
/// learns the outcome from the next list of tasks.
pub(super) async fn make(
    worker: &Worker,
    call: LedgerAction,
    clock: Clock,
    lease_until: &AtomicU64,
    answers: &mpsc::UnboundedSender<LedgerEvent>,
) {
    // Checked again, because the process may have been paused since the ledger checked the lease.
    let lease_valid = clock.now().0 < lease_until.load(Ordering::SeqCst);
    let outcome = match call {
        LedgerAction::Renew { .. } if !lease_valid => None,
        LedgerAction::Start(StartTask { job, epoch, .. }) if !lease_valid => {
            let reason = "the agent lease has expired".to_owned();
            Some(LedgerEvent::StartRefused { job, epoch, reason })
        }
        LedgerAction::Start(order) => Some(start(worker, order).await),
        LedgerAction::Renew { job, epoch } => Some(renew(worker, job, epoch).await),
        LedgerAction::Checkpoint { job, epoch } => Some(checkpoint(worker, job, epoch).await),
        LedgerAction::Stop { job, epoch } => stop(worker, job, epoch, clock).await,
        LedgerAction::Throttle { job, permille, .. } => {
            log_failure("throttle", &job, worker.throttle(&job, permille).await);
            None
        }
        LedgerAction::Forget { job, .. } => {
            log_failure("forget", &job, worker.forget(&job).await);
            None
        }
        LedgerAction::List => list(worker, clock).await,
        LedgerAction::Report(_) | LedgerAction::Inventory(_) => None,
    };
    if let Some(event) = outcome {
        // Cannot fail, because the ledger's task ends only with the process.
        let _ = answers.send(event);
    }
}

fn worker_lease() -> Duration {
    Duration::from_millis(LedgerConfig::default().worker_lease_ms)
}

fn log_failure(call: &str, job: &Name, result: Result<(), WorkerError>) {
    if let Err(error) = result {
        spdlog::warn!("job {job}: {call} failed: {error}");
    }
}

async fn start(worker: &Worker, order: StartTask) -> LedgerEvent {
    let StartTask { job, epoch, need, command, checkpoint, .. } = order;
    let order = TaskOrder { epoch, lease: worker_lease(), need, command, checkpoint };
    match worker.start(&job, &order).await {
        Ok(_) => LedgerEvent::Started { job, epoch },
        Err(WorkerError::Uncertain(why)) => {
            spdlog::warn!("job {job} epoch {epoch}: outcome of the start unknown: {why}");
            LedgerEvent::StartUncertain { job, epoch }
        }
        Err(error) => {
            let reason = error.to_string();
            LedgerEvent::StartRefused { job, epoch, reason }
        }
    }
}

async fn renew(worker: &Worker, job: Name, epoch: u64) -> LedgerEvent {
    log_failure("renewal", &job, worker.renew(&job, worker_lease()).await);
    LedgerEvent::Renewed { job, epoch }
}

async fn checkpoint(worker: &Worker, job: Name, epoch: u64) -> LedgerEvent {
    match worker.checkpoint(&job).await {
        Ok(checkpoint) => LedgerEvent::Checkpointed { job, epoch, checkpoint },
        Err(error) => {
            spdlog::warn!("job {job} epoch {epoch}: checkpoint failed: {error}");
            LedgerEvent::CheckpointFailed { job, epoch }
        }
    }
}

/// Stops a task, then lists the tasks to learn how it ended. The task may have completed just
/// before the stop; if it were reported as stopped, its result would be computed again.
async fn stop(worker: &Worker, job: Name, epoch: u64, clock: Clock) -> Option<LedgerEvent> {
    match worker.stop(&job).await {
        Ok(()) | Err(WorkerError::WrongState) => list(worker, clock).await,
        Err(WorkerError::NoSuchTask) => Some(LedgerEvent::Stopped { job, epoch }),
        Err(error) => {
            spdlog::warn!("job {job} epoch {epoch}: stop failed: {error}");
            None
        }
    }
}

async fn list(worker: &Worker, clock: Clock) -> Option<LedgerEvent> {
    let requested_at = clock.now();
    match worker.list().await {
        Ok(tasks) => {
            let tasks = tasks.into_iter().map(to_core).collect();
            Some(LedgerEvent::Listed { requested_at, tasks })
        }
        Err(error) => {
            spdlog::warn!("cannot list the worker's tasks: {error}");
            None
        }
    }
}

fn to_core(task: geraniumpost_outside::WorkerTask) -> WorkerTask {
    WorkerTask {
        job: task.id,
        epoch: task.epoch,
        state: task.state,
        checkpoint: task.checkpoint,
        result: task.result,
        usage: task.usage,
    }
}
