//! Writes the coordinator's records, each batch only while this entry coordinates.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use derive_more::{Display, Error};
use geraniumpost_batch::WriteBatch;
use geraniumpost_batch::tuning::WRITES_AT_ONCE;
use geraniumpost_platform::{CommitError, Store, Transaction};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::super::BootClock;
use super::driver::Input;
use super::left::Left;
use super::peers::Peers;
use super::record::CoordinatorRecord;
use super::term_support::TermSupport;
use super::timeout::Timeout;
use super::{COORDINATOR_KEY, JOB_PREFIX, KNOWLEDGE_KEY};
use crate::metrics::Metrics;

/// Pause after the store refused a call.
pub(super) const PAUSE: Duration = Duration::from_millis(60);
/// Time without a confirmed write after which the coordinator's key is read, so that a lost term
/// is noticed while nothing is written.
const CONFIRM_EVERY: Duration = Duration::from_millis(600);

/// The term is lost: another entry holds the coordinator's key.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("another entry coordinates")]
pub struct TermLost;

/// The writer of one term.
pub struct Writer {
    pub store: Arc<Store>,
    pub record: CoordinatorRecord,
    /// Revision of the coordinator's key.
    pub revision: u64,
    pub inputs: mpsc::Sender<Input>,
    pub confirmed_ms: Arc<AtomicU64>,
    pub timeout: Timeout,
    /// What a successor has to know of leases.
    pub left: Arc<Left>,
    pub support: Arc<TermSupport>,
    /// The other entries as the store names them.
    pub peers: Arc<Peers>,
    /// When the term was taken, on the boot clock.
    pub taken_ms: u64,
    pub metrics: Arc<Metrics>,
}

/// A write that has ended.
struct Done {
    batch: WriteBatch,
    result: Result<u64, CommitError>,
    /// When it began, on the boot clock.
    asked_ms: u64,
    took: Duration,
}

impl Writer {
    /// Writes batches until the term is lost, or until `stop` turns true and no write is under way.
    ///
    /// # Errors
    ///
    /// Fails if another entry holds the coordinator's key.
    pub async fn run(
        &mut self,
        batches: &mut mpsc::Receiver<WriteBatch>,
        mut stop: watch::Receiver<bool>,
    ) -> Result<(), TermLost> {
        let mut queue: VecDeque<WriteBatch> = VecDeque::new();
        let mut under_way: JoinSet<Done> = JoinSet::new();
        let mut uncertain = false;
        let mut confirm = tokio::time::interval(CONFIRM_EVERY);
        confirm.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let stopping = *stop.borrow();
            let mut outdated = !stopping && (self.overstates_waits() || self.voters_are_due());
            if (uncertain || outdated) && under_way.is_empty() {
                self.bar_earlier_writes().await?;
                (uncertain, outdated) = (false, false);
            }
            // A stopping coordinator leaves what it has not begun to write to its successor, which
            // finds all of it in the minions' lists: the sooner it goes, the shorter the gap.
            if stopping && under_way.is_empty() && !uncertain {
                return Ok(());
            }
            while !uncertain && !outdated && !stopping && under_way.len() < WRITES_AT_ONCE {
                let Some(batch) = queue.pop_front() else { break };
                under_way.spawn(self.write(batch));
            }
            tokio::select! {
                batch = batches.recv() => match batch {
                    Some(batch) => queue.push_back(batch),
                    None => return Ok(()),
                },
                Some(done) = under_way.join_next() => {
                    let Ok(done) = done else { return Err(TermLost) };
                    uncertain |= self.settle(done, &mut queue).await?;
                }
                _ = confirm.tick(), if under_way.is_empty() && !uncertain => {
                    self.confirm().await?;
                    self.unlist_lost_entry().await;
                }
                () = crate::stop_signal::stopped(&mut stop), if !stopping => {}
            }
        }
    }

    fn write(&self, batch: WriteBatch) -> impl Future<Output = Done> + Send + use<> {
        let key = |id| format!("{JOB_PREFIX}{id}");
        let knowledge = batch.interference.iter().map(|k| (KNOWLEDGE_KEY.to_owned(), k.clone()));
        let records = batch.put.iter().map(|(id, record)| (key(id), record.clone()));
        let put = Transaction {
            expect: vec![(COORDINATOR_KEY.to_owned(), self.revision)],
            write: records.chain(knowledge).collect(),
            remove: batch.remove.iter().map(key).collect(),
        };
        let store = Arc::clone(&self.store);
        let timeout = self.timeout.get();
        async move {
            let asked_ms = BootClock.now_ms();
            let began = tokio::time::Instant::now();
            let result = store.commit(&put, timeout).await;
            Done { batch, result, asked_ms, took: began.elapsed() }
        }
    }

    /// Takes the result of a write; returns whether it may still be carried out.
    async fn settle(
        &mut self,
        done: Done,
        queue: &mut VecDeque<WriteBatch>,
    ) -> Result<bool, TermLost> {
        let Done { batch, result, asked_ms, took } = done;
        let outcome = match &result {
            Ok(_) => "ok",
            Err(CommitError::Conflict(_)) => "conflict",
            Err(CommitError::NotApplied(_)) => "refused",
            Err(CommitError::Indeterminate(_)) => "lost",
        };
        self.metrics.store_call("commit", outcome, took);
        self.metrics.store_up(result.is_ok());
        match result {
            Ok(_) => {
                self.timeout.answered(took);
                self.note_confirmed(asked_ms).await;
                let _ = self.inputs.send(Input::Written(batch.number)).await;
                Ok(false)
            }
            Err(CommitError::Conflict(_)) => Err(TermLost),
            Err(CommitError::NotApplied(why)) => {
                spdlog::debug!("event=write_refused why=\"{why}\"");
                queue.push_front(batch);
                tokio::time::sleep(PAUSE).await;
                Ok(false)
            }
            Err(CommitError::Indeterminate(why)) => {
                self.timeout.unanswered();
                spdlog::warn!("event=write_unanswered records={} why=\"{why}\"", batch.put.len());
                queue.push_front(batch);
                Ok(true)
            }
        }
    }
}
