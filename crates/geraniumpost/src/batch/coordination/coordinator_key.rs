//! The coordinator's key: what a term keeps in it, and what shows that the term lasts.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use geraniumpost_batch::SilentCoordinator;
use geraniumpost_batch::tuning::{ENTRY_EXPIRY_MS, STORE_UNREACHABLE_MS};
use geraniumpost_platform::{CommitError, KeyValue, Transaction};

use super::super::BootClock;
use super::COORDINATOR_KEY;
use super::driver::Input;
use super::peers::RegisteredEntry;
use super::record::CoordinatorRecord;
use super::writer::{RETRY_PAUSE, TermLost, Writer};

/// By how much the key may give a silent coordinator too much time, in milliseconds: a rewrite takes a call,
/// in which no batch is written, and about five are needed until its time is over.
const MAX_OVERSTATEMENT_MS: u64 = 2_500;

impl Writer {
    /// Returns whether the key gives silent coordinators much more time than they have left. Whoever reads
    /// it counts with all of that time from then on, whenever that may be, so it is rewritten.
    pub(super) fn overstates_leases(&self) -> bool {
        let recorded = &self.record.predecessor_leases.silent;
        if recorded.is_empty() {
            return false;
        }
        let successor_leases = self.successor_leases.at(BootClock.now_ms()).silent;
        let overstated = |(address, recorded): (&SocketAddr, &SilentCoordinator)| {
            successor_leases.get(address).is_none_or(|successor_leases| {
                successor_leases.remaining_ms + MAX_OVERSTATEMENT_MS <= recorded.remaining_ms
            })
        };
        recorded.iter().any(overstated)
    }

    /// Returns whether the key should name other voters, and the store answers: this is not urgent enough to
    /// ask for again and again while it does not.
    pub(super) fn voter_change_is_due(&self) -> bool {
        let confirmed_ms = self.confirmed_ms.load(Ordering::Relaxed);
        let store_responds = BootClock.now_ms() < confirmed_ms + STORE_UNREACHABLE_MS;
        store_responds && self.support.voters_to_write().is_some()
    }

    /// Makes sure that no earlier write can be carried out any more.
    ///
    /// A write without an answer may be carried out seconds later, after a newer one of the same
    /// record, and would put the older one back: after the loss of all processes an ended task
    /// would seem to run. Every write requires the revision of the coordinator's key, so rewriting
    /// that key bars them all.
    ///
    /// The same rewrite names other voters if that is due; each attempt names the same ones.
    pub(super) async fn fence_earlier_writes(&mut self) -> Result<(), TermLost> {
        if let Some(voters) = self.support.voters_to_write() {
            self.record.voters.insert(self.record.term, voters.clone());
            self.support.begin_voter_change(voters);
        }
        self.rewrite_key().await?;
        self.support.complete_voter_change();
        Ok(())
    }

    async fn rewrite_key(&mut self) -> Result<(), TermLost> {
        loop {
            self.record.barrier += 1;
            self.record.predecessor_leases =
                self.successor_leases.at(BootClock.now_ms()).while_coordinating();
            self.record.prune_voters();
            let transaction = Transaction {
                expect: vec![(COORDINATOR_KEY.to_owned(), self.revision)],
                write: vec![(COORDINATOR_KEY.to_owned(), self.record.encode())],
                remove: Vec::new(),
            };
            let requested_ms = BootClock.now_ms();
            let began = tokio::time::Instant::now();
            match self.store.commit(&transaction, self.timeout.get()).await {
                Ok(revision) => {
                    self.timeout.record_response(began.elapsed());
                    self.revision = revision;
                    self.report_confirmed(requested_ms).await;
                    return Ok(());
                }
                Err(CommitError::Conflict(_)) => {
                    // An unanswered attempt of ours has been carried out, or the term is lost.
                    if self.read_revision().await? {
                        return Ok(());
                    }
                }
                Err(CommitError::NotApplied(_)) => tokio::time::sleep(RETRY_PAUSE).await,
                Err(CommitError::Indeterminate(_)) => {
                    self.timeout.record_no_response();
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
            let requested_ms = BootClock.now_ms();
            match self.store.get(COORDINATOR_KEY, self.timeout.get()).await {
                Ok(item) => {
                    let revision = self.check_own_term(item)?;
                    let changed = revision != self.revision;
                    self.revision = revision;
                    self.report_confirmed(requested_ms).await;
                    return Ok(changed);
                }
                Err(error) => {
                    spdlog::debug!("event=read_failed why=\"{error}\"");
                    self.timeout.record_no_response();
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Checks that the term lasts, while nothing is written.
    pub(super) async fn confirm(&mut self) -> Result<(), TermLost> {
        let requested_ms = BootClock.now_ms();
        let began = tokio::time::Instant::now();
        match self.store.get(COORDINATOR_KEY, self.timeout.get()).await {
            Ok(item) => {
                self.timeout.record_response(began.elapsed());
                self.revision = self.check_own_term(item)?;
                self.report_confirmed(requested_ms).await;
            }
            Err(error) => spdlog::debug!("event=confirm_failed why=\"{error}\""),
        }
        Ok(())
    }

    /// Removes an entry from the list that has not been heard of for long; others would ask it in vain for ever.
    /// It is one each time, as this is not urgent.
    pub(super) async fn deregister_lost_entry(&self) {
        let term_ms = BootClock.now_ms().saturating_sub(self.term_began_ms);
        let lost = |registered: &&RegisteredEntry| {
            self.support.silent_ms(&registered.node).unwrap_or(term_ms) >= ENTRY_EXPIRY_MS
        };
        let registered = self.peers.registered();
        let Some(lost) = registered.iter().find(lost) else { return };
        let own_key = (COORDINATOR_KEY.to_owned(), self.revision);
        let transaction = Transaction {
            expect: vec![own_key, (lost.key(), lost.revision)],
            write: Vec::new(),
            remove: vec![lost.key()],
        };
        match self.store.commit(&transaction, self.timeout.get()).await {
            Ok(_) => spdlog::info!("event=entry_unlisted node={}", lost.node),
            // It was removed a moment ago, has listed itself anew, or is found again next time.
            Err(error) => spdlog::debug!("event=unlist_failed why=\"{error}\""),
        }
    }

    /// Returns the key's revision if the term is still ours.
    fn check_own_term(&self, item: Option<KeyValue>) -> Result<u64, TermLost> {
        let item = item.ok_or(TermLost)?;
        let record = CoordinatorRecord::decode(&item.value).map_err(|_| TermLost)?;
        let is_own_term =
            record.incarnation == self.record.incarnation && record.term == self.record.term;
        if is_own_term { Ok(item.revision) } else { Err(TermLost) }
    }

    /// Takes note that the store has confirmed the term, for the time at which it was asked.
    pub(super) async fn report_confirmed(&self, requested_ms: u64) {
        let received_ms = BootClock.now_ms();
        self.confirmed_ms.store(received_ms, Ordering::Relaxed);
        // The driver ends only with the term.
        let _ = self.inputs.send(Input::TermConfirmed { requested_ms, received_ms }).await;
    }

    /// Gives the term up, so that the next coordinator need not wait for anything.
    pub async fn step_down(&mut self) {
        self.record.stepped_down = true;
        self.record.predecessor_leases = self.successor_leases.at(BootClock.now_ms());
        let transaction = Transaction {
            expect: vec![(COORDINATOR_KEY.to_owned(), self.revision)],
            write: vec![(COORDINATOR_KEY.to_owned(), self.record.encode())],
            remove: Vec::new(),
        };
        if let Err(error) = self.store.commit(&transaction, self.timeout.get()).await {
            spdlog::warn!("event=step_down_unanswered why=\"{error}\"");
        }
    }
}
