//! The coordinator's key: what a term keeps in it, and what shows that the term lasts.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use geraniumpost_batch::Silent;
use geraniumpost_batch::tuning::{ENTRY_GONE_MS, STORE_SILENCE_MS};
use geraniumpost_platform::{CommitError, KeyValue, Transaction};

use super::super::BootClock;
use super::COORDINATOR_KEY;
use super::driver::Input;
use super::peers::Listed;
use super::record::CoordinatorRecord;
use super::writer::{PAUSE, TermLost, Writer};

/// By how much the key may give a silent coordinator too much time, in milliseconds: a rewrite takes a call,
/// in which no batch is written, and about five are needed until its time is over.
const OVERSTATED_MS: u64 = 2_500;

impl Writer {
    /// Returns whether the key gives silent coordinators much more time than they have left. Whoever reads
    /// it counts with all of that time from then on, whenever that may be, so it is rewritten.
    pub(super) fn overstates_waits(&self) -> bool {
        let named = &self.record.predecessor_leases.silent;
        if named.is_empty() {
            return false;
        }
        let left = self.left.at(BootClock.now_ms()).silent;
        let overstated = |(address, named): (&SocketAddr, &Silent)| {
            left.get(address).is_none_or(|left| left.lasts_ms + OVERSTATED_MS <= named.lasts_ms)
        };
        named.iter().any(overstated)
    }

    /// Returns whether the key should name other voters, and the store answers: this is not urgent enough to
    /// ask for again and again while it does not.
    pub(super) fn voters_are_due(&self) -> bool {
        let confirmed_ms = self.confirmed_ms.load(Ordering::Relaxed);
        let answers = BootClock.now_ms() < confirmed_ms + STORE_SILENCE_MS;
        answers && self.support.wanted().is_some()
    }

    /// Makes sure that no earlier write can be carried out any more.
    ///
    /// A write without an answer may be carried out seconds later, after a newer one of the same
    /// record, and would put the older one back: after the loss of all processes an ended task
    /// would seem to run. Every write requires the revision of the coordinator's key, so rewriting
    /// that key bars them all.
    ///
    /// The same rewrite names other voters if that is due; each attempt names the same ones.
    pub(super) async fn bar_earlier_writes(&mut self) -> Result<(), TermLost> {
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
            self.record.predecessor_leases = self.left.at(BootClock.now_ms()).while_coordinating();
            self.record.prune_voters();
            let put = Transaction {
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
                Err(CommitError::NotApplied(_)) => tokio::time::sleep(PAUSE).await,
                Err(CommitError::Indeterminate(_)) => {
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
    pub(super) async fn confirm(&mut self) -> Result<(), TermLost> {
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

    /// Removes an entry from the list that has not been heard of for long; others would ask it in vain for ever.
    /// It is one each time, as this is not urgent.
    pub(super) async fn unlist_lost_entry(&self) {
        let term_ms = BootClock.now_ms().saturating_sub(self.taken_ms);
        let lost = |listed: &&Listed| {
            self.support.silent_ms(&listed.node).unwrap_or(term_ms) >= ENTRY_GONE_MS
        };
        let listed = self.peers.listed();
        let Some(lost) = listed.iter().find(lost) else { return };
        let own = (COORDINATOR_KEY.to_owned(), self.revision);
        let put = Transaction {
            expect: vec![own, (lost.key(), lost.revision)],
            write: Vec::new(),
            remove: vec![lost.key()],
        };
        match self.store.commit(&put, self.timeout.get()).await {
            Ok(_) => spdlog::info!("event=entry_unlisted node={}", lost.node),
            // It was removed a moment ago, has listed itself anew, or is found again next time.
            Err(error) => spdlog::debug!("event=unlist_failed why=\"{error}\""),
        }
    }

    /// Returns the key's revision if the term is still ours.
    fn own(&self, item: Option<KeyValue>) -> Result<u64, TermLost> {
        let item = item.ok_or(TermLost)?;
        let record = CoordinatorRecord::decode(&item.value).map_err(|_| TermLost)?;
        let ours = record.incarnation == self.record.incarnation && record.term == self.record.term;
        if ours { Ok(item.revision) } else { Err(TermLost) }
    }

    /// Takes note that the store has confirmed the term, for the time at which it was asked.
    pub(super) async fn note_confirmed(&self, asked_ms: u64) {
        let heard_ms = BootClock.now_ms();
        self.confirmed_ms.store(heard_ms, Ordering::Relaxed);
        // The driver ends only with the term.
        let _ = self.inputs.send(Input::Confirmed { asked_ms, heard_ms }).await;
    }

    /// Gives the term up, so that the next coordinator need not wait for anything.
    pub async fn step_down(&mut self) {
        self.record.stepped_down = true;
        self.record.predecessor_leases = self.left.at(BootClock.now_ms());
        let put = Transaction {
            expect: vec![(COORDINATOR_KEY.to_owned(), self.revision)],
            write: vec![(COORDINATOR_KEY.to_owned(), self.record.encode())],
            remove: Vec::new(),
        };
        if let Err(error) = self.store.commit(&put, self.timeout.get()).await {
            spdlog::warn!("event=step_down_unanswered why=\"{error}\"");
        }
    }
}
