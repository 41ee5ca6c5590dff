//! Writes the coordinator's records to the store, each batch only while this entry coordinates.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use derive_more::{Display, Error};
use geraniumpost_batch::WriteBatch;
use geraniumpost_batch::tuning::MAX_CONCURRENT_WRITES;
use geraniumpost_platform::{CommitError, Store, Transaction};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::super::BootClock;
use super::adaptive_timeout::AdaptiveTimeout;
use super::driver::Input;
use super::peers::Peers;
use super::record::CoordinatorRecord;
use super::successor_leases::SuccessorLeases;
use super::term_support::TermSupport;
use super::{COORDINATOR_KEY, INTERFERENCE_KEY, JOB_PREFIX};
use crate::metrics::Metrics;

/// Pause after a failed call to the store.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Interval at which the coordinator's key is read while no write is in flight, so that an idle
/// coordinator notices the loss of its term.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(600);

/// The term is lost: another entry holds the coordinator's key.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("another entry coordinates")]
pub struct TermLost;

/// Writes batches and the coordinator's key during one term.
pub struct Writer {
    pub store: Arc<Store>,
    pub record: CoordinatorRecord,
    /// Revision of the coordinator's key, which every write requires.
    pub revision: u64,
    pub inputs: mpsc::Sender<Input>,
    pub confirmed_ms: Arc<AtomicU64>,
    pub timeout: AdaptiveTimeout,
    /// Leases that a successor has to wait for, as reported by the driver.
    pub successor_leases: Arc<SuccessorLeases>,
    pub support: Arc<TermSupport>,
    /// The other entries; lost ones are removed from the registry.
    pub peers: Arc<Peers>,
    /// Start of the term, on the monotonic clock.
    pub term_began_ms: u64,
    pub metrics: Arc<Metrics>,
    /// Whether batches that the store refused, or that wait for an earlier write without a result,
    /// go back to the coordinator, which may withdraw jobs from them.
    pub returns_batches: bool,
    /// Numbers of batches with an attempt that had no result. They are written again, and never
    /// returned before that.
    pub attempted: BTreeSet<u64>,
}

/// The result of a write, with its batch and timing.
struct FinishedWrite {
    batch: WriteBatch,
    result: Result<u64, CommitError>,
    /// Time at which the call to the store was sent, on the monotonic clock.
    requested_ms: u64,
    elapsed: Duration,
}

impl Writer {
    /// Writes batches until the term is lost, the driver ends, or `hand_over` turns true and no
    /// write is in flight.
    ///
    /// # Errors
    ///
    /// Fails if another entry or process holds the coordinator's key.
    pub async fn run(
        &mut self,
        batches: &mut mpsc::Receiver<WriteBatch>,
        mut hand_over: watch::Receiver<bool>,
    ) -> Result<(), TermLost> {
        let mut queue: VecDeque<WriteBatch> = VecDeque::new();
        let mut in_flight: JoinSet<FinishedWrite> = JoinSet::new();
        let mut indeterminate = false;
        let mut confirm = tokio::time::interval(CONFIRM_INTERVAL);
        confirm.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let ending = *hand_over.borrow();
            let mut key_outdated =
                !ending && (self.overstates_leases() || self.is_voter_change_due());
            if indeterminate && self.returns_batches {
                self.return_unsent(&mut queue).await;
            }
            if (indeterminate || key_outdated) && in_flight.is_empty() {
                if indeterminate && self.returns_batches {
                    self.fence_and_return_batches(batches).await?;
                } else {
                    self.fence_earlier_writes().await?;
                }
                (indeterminate, key_outdated) = (false, false);
            }
            // A coordinator that hands over drops the batches that it has not begun to write, because an
            // earlier takeover shortens the interruption. The successor learns the dropped changes
            // from the minions' lists.
            if ending && in_flight.is_empty() && !indeterminate {
                return Ok(());
            }
            while !indeterminate
                && !key_outdated
                && !ending
                && in_flight.len() < MAX_CONCURRENT_WRITES
            {
                let Some(batch) = queue.pop_front() else { break };
                in_flight.spawn(self.write(batch));
            }
            tokio::select! {
                batch = batches.recv() => match batch {
                    Some(batch) => queue.push_back(batch),
                    None => return Ok(()),
                },
                Some(finished) = in_flight.join_next() => {
                    let Ok(finished) = finished else { return Err(TermLost) };
                    indeterminate |= self.handle_result(finished, &mut queue).await?;
                }
                _ = confirm.tick(), if in_flight.is_empty() && !indeterminate => {
                    self.confirm_term().await?;
                    self.deregister_lost_entry().await;
                }
                () = crate::stop_signal::stopped(&mut hand_over), if !ending => {}
            }
        }
    }

    fn write(&self, batch: WriteBatch) -> impl Future<Output = FinishedWrite> + Send + use<> {
        let key = |id| format!("{JOB_PREFIX}{id}");
        let interference =
            batch.interference.iter().map(|value| (INTERFERENCE_KEY.to_owned(), value.clone()));
        let records = batch.put.iter().map(|(id, record)| (key(id), record.clone()));
        let transaction = Transaction {
            expect: vec![(COORDINATOR_KEY.to_owned(), self.revision)],
            write: records.chain(interference).collect(),
            remove: batch.remove.iter().map(key).collect(),
        };
        let store = Arc::clone(&self.store);
        let timeout = self.timeout.get();
        async move {
            let requested_ms = BootClock.now_ms();
            let started_at = tokio::time::Instant::now();
            let result = store.commit(&transaction, timeout).await;
            FinishedWrite { batch, result, requested_ms, elapsed: started_at.elapsed() }
        }
    }

    /// Handles the result of a write, and returns whether the store may still apply the write
    /// later.
    async fn handle_result(
        &mut self,
        finished: FinishedWrite,
        queue: &mut VecDeque<WriteBatch>,
    ) -> Result<bool, TermLost> {
        let FinishedWrite { batch, result, requested_ms, elapsed } = finished;
        let outcome = match &result {
            Ok(_) => "ok",
            Err(CommitError::Conflict(_)) => "conflict",
            Err(CommitError::NotApplied(_)) => "refused",
            Err(CommitError::Indeterminate(_)) => "lost",
        };
        self.metrics.store_call("commit", outcome, elapsed);
        self.metrics.store_up(result.is_ok());
        match result {
            Ok(_) => {
                self.timeout.record_response(elapsed);
                self.attempted.remove(&batch.number);
                self.report_confirmed(requested_ms).await;
                let _ = self.inputs.send(Input::BatchWritten(batch.number)).await;
                Ok(false)
            }
            Err(CommitError::Conflict(_)) => Err(TermLost),
            Err(CommitError::NotApplied(why)) => {
                spdlog::debug!("event=write_refused why=\"{why}\"");
                if self.returns_batches {
                    self.attempted.remove(&batch.number);
                    let _ = self.inputs.send(Input::BatchRefused(batch.number)).await;
                } else {
                    queue.push_front(batch);
                }
                tokio::time::sleep(RETRY_PAUSE).await;
                Ok(false)
            }
            Err(CommitError::Indeterminate(why)) => {
                self.timeout.record_no_response();
                spdlog::warn!(
                    "event=write_indeterminate records={} why=\"{why}\"",
                    batch.put.len()
                );
                if self.returns_batches {
                    self.attempted.insert(batch.number);
                    let _ = self.inputs.send(Input::BatchIndeterminate(batch.number)).await;
                }
                queue.push_front(batch);
                Ok(true)
            }
        }
    }

    /// Returns the batches to the coordinator that were never sent to the store. The coordinator
    /// gathers them anew, and none before the batches without a result are written.
    async fn return_unsent(&self, queue: &mut VecDeque<WriteBatch>) {
        for batch in std::mem::take(queue) {
            if self.attempted.contains(&batch.number) {
                queue.push_back(batch);
            } else {
                // Sending fails only if the term has ended.
                let _ = self.inputs.send(Input::BatchUnsent(batch.number)).await;
            }
        }
    }

    /// Rewrites the coordinator's key as [`Self::fence_earlier_writes`], and meanwhile returns
    /// batches that the coordinator gathered before it learned of the write without a result.
    async fn fence_and_return_batches(
        &mut self,
        batches: &mut mpsc::Receiver<WriteBatch>,
    ) -> Result<(), TermLost> {
        let inputs = self.inputs.clone();
        let mut fence = std::pin::pin!(self.fence_earlier_writes());
        loop {
            tokio::select! {
                result = &mut fence => return result,
                Some(batch) = batches.recv() => {
                    // Sending fails only if the term has ended.
                    let _ = inputs.send(Input::BatchUnsent(batch.number)).await;
                }
            }
        }
    }
}
