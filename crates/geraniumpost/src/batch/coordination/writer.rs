//! Writes the coordinator's records, each batch only while this entry coordinates.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use derive_more::{Display, Error};
use geraniumpost_batch::tuning::{ENTRY_GONE_MS, STORE_SILENCE_MS, WRITES_AT_ONCE};
use geraniumpost_batch::{Silent, WriteBatch};
use geraniumpost_platform::{CommitError, Item, Put, Store};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::super::BootClock;
use super::driver::Input;
use super::left::Left;
use super::peers::{Listed, Peers};
use super::record::CoordinatorRecord;
use super::term_support::TermSupport;
use super::{COORDINATOR_KEY, JOB_PREFIX, KNOWLEDGE_KEY};
use crate::metrics::Metrics;

/// Shortest time given to a call, in milliseconds: the store's usual 4 ms, and the pauses of a
/// small VM whose processor time is used up.
const SHORTEST_TIMEOUT_MS: u64 = 250;
/// Longest time given to a call, in milliseconds.
const LONGEST_TIMEOUT_MS: u64 = 2_000;
/// Longest time given to a call after others had no answer, in milliseconds. A call that waits for a
/// store that is away does not notice its return, so the coordinator would be the last to know.
const LONGEST_DOUBLED_MS: u64 = 1_000;
/// How much longer than usual a call may take.
const TIMES_USUAL: u64 = 6;
/// Pause after the store refused a call.
const PAUSE: Duration = Duration::from_millis(60);
/// Time without a confirmed write after which the coordinator's key is read, so that a lost term
/// is noticed while nothing is written.
const CONFIRM_EVERY: Duration = Duration::from_millis(600);

/// By how much the key may give a silent coordinator too much time, in milliseconds: a rewrite takes a call,
/// in which no batch is written, and about five are needed until its time is over.
const OVERSTATED_MS: u64 = 2_500;

/// Shortest pause between two rewrites of the key that only name other voters, in milliseconds: entries that
/// start together are named together.
const NAME_VOTERS_EVERY_MS: u64 = 2_000;

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
    /// When the key last named the voters, on the boot clock.
    pub named_voters_ms: u64,
    /// The other entries as the store names them.
    pub peers: Arc<Peers>,
    /// When the term was taken, on the boot clock.
    pub taken_ms: u64,
    pub metrics: Arc<Metrics>,
}

/// How long a call may take, learnt from how long calls take.
#[derive(Debug, Clone, Copy)]
pub struct Timeout {
    usual_ms: u64,
    now_ms: u64,
}

impl Default for Timeout {
    fn default() -> Self {
        Self { usual_ms: 4, now_ms: SHORTEST_TIMEOUT_MS }
    }
}

impl Timeout {
    /// Returns the time to give to the next call.
    pub const fn get(self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    /// Takes note of a call that was answered after `took`.
    pub fn answered(&mut self, took: Duration) {
        self.usual_ms = (self.usual_ms * 3 + took.as_millis() as u64) / 4;
        let wanted_ms = self.usual_ms * TIMES_USUAL;
        self.now_ms = wanted_ms.clamp(SHORTEST_TIMEOUT_MS, LONGEST_TIMEOUT_MS);
    }

    /// Takes note of a call without an answer: a store that is slow must not look lost for ever.
    pub fn unanswered(&mut self) {
        let doubled_ms = (self.now_ms * 2).min(LONGEST_DOUBLED_MS);
        self.now_ms = self.now_ms.max(doubled_ms);
    }
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
                    self.strike_off_lost_entry().await;
                }
                () = crate::stop_signal::stopped(&mut stop), if !stopping => {}
            }
        }
    }

    fn write(&self, batch: WriteBatch) -> impl Future<Output = Done> + Send + use<> {
        let key = |id| format!("{JOB_PREFIX}{id}");
        let knowledge = batch.knowledge.iter().map(|k| (KNOWLEDGE_KEY.to_owned(), k.clone()));
        let records = batch.put.iter().map(|(id, record)| (key(id), record.clone()));
        let put = Put {
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
            Err(CommitError::NotDone(_)) => "refused",
            Err(CommitError::Unknown(_)) => "lost",
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
            Err(CommitError::NotDone(why)) => {
                spdlog::debug!("event=write_refused why=\"{why}\"");
                queue.push_front(batch);
                tokio::time::sleep(PAUSE).await;
                Ok(false)
            }
            Err(CommitError::Unknown(why)) => {
                self.timeout.unanswered();
                spdlog::warn!("event=write_unanswered records={} why=\"{why}\"", batch.put.len());
                queue.push_front(batch);
                Ok(true)
            }
        }
    }

    /// Returns whether the key gives silent coordinators much more time than they have left. Whoever reads
    /// it counts with all of that time from then on, whenever that may be, so it is rewritten.
    fn overstates_waits(&self) -> bool {
        let named = &self.record.inheritance.silent;
        if named.is_empty() {
            return false;
        }
        let left = self.left.at(BootClock.now_ms()).silent;
        let overstated = |(address, named): (&SocketAddr, &Silent)| {
            left.get(address).is_none_or(|left| left.lasts_ms + OVERSTATED_MS <= named.lasts_ms)
        };
        named.iter().any(overstated)
    }

    /// Returns whether the key should name other voters. It was not rewritten a moment ago, and the store
    /// answers: this is not urgent enough to ask for again and again while it does not.
    fn voters_are_due(&self) -> bool {
        let now_ms = BootClock.now_ms();
        let answers = now_ms < self.confirmed_ms.load(Ordering::Relaxed) + STORE_SILENCE_MS;
        let due = now_ms >= self.named_voters_ms + NAME_VOTERS_EVERY_MS;
        answers && due && self.support.wanted().is_some()
    }

    /// Makes sure that no earlier write can be carried out any more.
    ///
    /// A write without an answer may be carried out seconds later, after a newer one of the same
    /// record, and would put the older one back: after the loss of all processes an ended task
    /// would seem to run. Every write requires the revision of the coordinator's key, so rewriting
    /// that key bars them all.
    ///
    /// The same rewrite names the voters anew; each attempt names the same ones.
    async fn bar_earlier_writes(&mut self) -> Result<(), TermLost> {
        self.named_voters_ms = BootClock.now_ms();
        if let Some(voters) = self.support.wanted() {
            self.record.voters.insert(self.record.term, voters.clone());
            self.support.change(voters);
        }
        self.rewrite_key().await?;
        self.support.changed();
        Ok(())
    }

    async fn rewrite_key(&mut self) -> Result<(), TermLost> {
        loop {
            self.record.barrier += 1;
            self.record.inheritance = self.left.at(BootClock.now_ms()).while_coordinating();
            self.record.forget_voters();
            let put = Put {
                expect: vec![(COORDINATOR_KEY.to_owned(), self.revision)],
                write: vec![(COORDINATOR_KEY.to_owned(), self.record.encode())],
                remove: Vec::new(),
            };
            let asked_ms = BootClock.now_ms();
            let began = tokio::time::Instant::now();
            match self.store.commit(&put, self.timeout.get()).await {
                Ok(revision) => {
                    self.timeout.answered(began.elapsed());
                    self.revision = revision;
                    self.note_confirmed(asked_ms).await;
                    return Ok(());
                }
                Err(CommitError::Conflict(_)) => {
                    // An unanswered attempt of ours has been carried out, or the term is lost.
                    if self.read_revision().await? {
                        return Ok(());
                    }
                }
                Err(CommitError::NotDone(_)) => tokio::time::sleep(PAUSE).await,
                Err(CommitError::Unknown(_)) => {
                    self.timeout.unanswered();
                    if self.read_revision().await? {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Reads the coordinator's key; returns whether its revision has changed by our own doing.
    async fn read_revision(&mut self) -> Result<bool, TermLost> {
        loop {
            let asked_ms = BootClock.now_ms();
            match self.store.get(COORDINATOR_KEY, self.timeout.get()).await {
                Ok(item) => {
                    let revision = self.own(item)?;
                    let changed = revision != self.revision;
                    self.revision = revision;
                    self.note_confirmed(asked_ms).await;
                    return Ok(changed);
                }
                Err(error) => {
                    spdlog::debug!("event=read_failed why=\"{error}\"");
                    self.timeout.unanswered();
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// Checks that the term lasts, while nothing is written.
    async fn confirm(&mut self) -> Result<(), TermLost> {
        let asked_ms = BootClock.now_ms();
        let began = tokio::time::Instant::now();
        match self.store.get(COORDINATOR_KEY, self.timeout.get()).await {
            Ok(item) => {
                self.timeout.answered(began.elapsed());
                self.revision = self.own(item)?;
                self.note_confirmed(asked_ms).await;
            }
            Err(error) => spdlog::debug!("event=confirm_failed why=\"{error}\""),
        }
        Ok(())
    }

    /// Strikes an entry off the list that has not been heard of for long; others would ask it in vain for
    /// ever. It is one each time, as this is not urgent.
    async fn strike_off_lost_entry(&self) {
        let term_ms = BootClock.now_ms().saturating_sub(self.taken_ms);
        let lost = |listed: &&Listed| {
            self.support.silent_ms(&listed.node).unwrap_or(term_ms) >= ENTRY_GONE_MS
        };
        let listed = self.peers.listed();
        let Some(lost) = listed.iter().find(lost) else { return };
        let own = (COORDINATOR_KEY.to_owned(), self.revision);
        let put = Put {
            expect: vec![own, (lost.key(), lost.revision)],
            write: Vec::new(),
            remove: vec![lost.key()],
        };
        match self.store.commit(&put, self.timeout.get()).await {
            Ok(_) => spdlog::info!("event=entry_struck_off node={}", lost.node),
            // It was struck off a moment ago, has listed itself anew, or is found again next time.
            Err(error) => spdlog::debug!("event=strike_off_failed why=\"{error}\""),
        }
    }

    /// Returns the key's revision if the term is still ours.
    fn own(&self, item: Option<Item>) -> Result<u64, TermLost> {
        let item = item.ok_or(TermLost)?;
        let record = CoordinatorRecord::decode(&item.value).map_err(|_| TermLost)?;
        let ours = record.incarnation == self.record.incarnation && record.term == self.record.term;
        if ours { Ok(item.revision) } else { Err(TermLost) }
    }

    /// Takes note that the store has confirmed the term, for the time at which it was asked.
    async fn note_confirmed(&self, asked_ms: u64) {
        let heard_ms = BootClock.now_ms();
        self.confirmed_ms.store(heard_ms, Ordering::Relaxed);
        // The driver ends only with the term.
        let _ = self.inputs.send(Input::Confirmed { asked_ms, heard_ms }).await;
    }

    /// Gives the term up, so that the next coordinator need not wait for anything.
    pub async fn step_down(&mut self) {
        self.record.vacant = true;
        self.record.inheritance = self.left.at(BootClock.now_ms());
        let put = Put {
            expect: vec![(COORDINATOR_KEY.to_owned(), self.revision)],
            write: vec![(COORDINATOR_KEY.to_owned(), self.record.encode())],
            remove: Vec::new(),
        };
        if let Err(error) = self.store.commit(&put, self.timeout.get()).await {
            spdlog::warn!("event=step_down_unanswered why=\"{error}\"");
        }
    }
}
