//! The part of the writer that maintains the coordinator's key and confirms the term.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use geraniumpost_batch::SilentCoordinator;
use geraniumpost_batch::tuning::{ENTRY_EXPIRY_MS, MAX_CONFIRMATION_AGE_MS};
use geraniumpost_platform::{CommitError, KeyValue, Transaction};

use super::super::BootClock;
use super::COORDINATOR_KEY;
use super::driver::Input;
use super::peers::RegisteredEntry;
use super::record::CoordinatorRecord;
use super::writer::{RETRY_PAUSE, TermLost, Writer};

/// Overstatement of the remaining time of a silent coordinator's leases from which the key is
/// rewritten, in milliseconds. No batch is written during a rewrite; with this value about five
/// rewrites are needed until the leases have expired.
const MAX_OVERSTATEMENT_MS: u64 = 2_500;

impl Writer {
    /// Returns whether the key overstates the remaining time of silent coordinators' leases by
    /// [`MAX_OVERSTATEMENT_MS`] or more. A successor counts the recorded time from its takeover, so
    /// an overstated time delays its work.
    pub(super) fn overstates_leases(&self) -> bool {
        let recorded = &self.record.predecessor_leases.silent;
        if recorded.is_empty() {
            return false;
        }
        let remaining = self.successor_leases.remaining_at(BootClock.now_ms()).silent;
        let overstated = |(address, recorded): (&SocketAddr, &SilentCoordinator)| {
            remaining.get(address).is_none_or(|remaining| {
                remaining.remaining_ms + MAX_OVERSTATEMENT_MS <= recorded.remaining_ms
            })
        };
        recorded.iter().any(overstated)
    }

    /// Returns whether the key must be rewritten with other voters. Returns false while the store
    /// does not respond, because the change is not urgent enough to be retried.
    pub(super) fn is_voter_change_due(&self) -> bool {
        let confirmed_ms = self.confirmed_ms.load(Ordering::Relaxed);
        let store_responds = BootClock.now_ms() < confirmed_ms + MAX_CONFIRMATION_AGE_MS;
        store_responds && self.support.voters_to_write().is_some()
    }

    /// Rewrites the coordinator's key. The store then rejects all writes that were sent before.
    ///
    /// The store may apply a write seconds after the call has timed out. Such a write would
    /// overwrite a newer value of the same record, and after the loss of all processes an ended
    /// task would seem to run. Every write requires the current revision of the coordinator's key,
    /// which the rewrite changes.
    ///
    /// The same rewrite changes the voters if a change is due; all attempts write the same voters.
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
                self.successor_leases.remaining_at(BootClock.now_ms()).without_unreached();
            self.record.prune_voters();
            let transaction = Transaction {
                expect: vec![(COORDINATOR_KEY.to_owned(), self.revision)],
                write: vec![(COORDINATOR_KEY.to_owned(), self.record.encode())],
                remove: Vec::new(),
            };
            let requested_ms = BootClock.now_ms();
            let started_at = tokio::time::Instant::now();
            match self.store.commit(&transaction, self.timeout.get()).await {
                Ok(revision) => {
                    self.timeout.record_response(started_at.elapsed());
                    self.revision = revision;
                    self.report_confirmed(requested_ms).await;
                    return Ok(());
                }
                Err(CommitError::Conflict(_)) => {
                    // Either an attempt without a response was applied, or the term is lost.
                    if self.refresh_revision().await? {
                        return Ok(());
                    }
                }
                Err(CommitError::NotApplied(_)) => tokio::time::sleep(RETRY_PAUSE).await,
                Err(CommitError::Indeterminate(_)) => {
                    self.timeout.record_no_response();
                    if self.refresh_revision().await? {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Reads the revision of the coordinator's key. Returns whether the revision has changed, which
    /// means that an earlier attempt of this writer was applied.
    async fn refresh_revision(&mut self) -> Result<bool, TermLost> {
        loop {
            let requested_ms = BootClock.now_ms();
            match self.store.get(COORDINATOR_KEY, self.timeout.get()).await {
                Ok(item) => {
                    let revision = self.own_term_revision(item)?;
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

    /// Reads the coordinator's key to check that the term is not lost. A failed read is only
    /// logged.
    pub(super) async fn confirm_term(&mut self) -> Result<(), TermLost> {
        let requested_ms = BootClock.now_ms();
        let started_at = tokio::time::Instant::now();
        match self.store.get(COORDINATOR_KEY, self.timeout.get()).await {
            Ok(item) => {
                self.timeout.record_response(started_at.elapsed());
                self.revision = self.own_term_revision(item)?;
                self.report_confirmed(requested_ms).await;
            }
            Err(error) => spdlog::debug!("event=confirm_failed why=\"{error}\""),
        }
        Ok(())
    }

    /// Removes an entry that has been silent for [`ENTRY_EXPIRY_MS`] from the registry, so that
    /// others no longer send requests to it. Removes at most one entry per call, because removal is
    /// not urgent.
    pub(super) async fn deregister_lost_entry(&self) {
        let term_ms = BootClock.now_ms().saturating_sub(self.term_began_ms);
        let lost = |registered: &&RegisteredEntry| {
            self.support.last_promise_age_ms(&registered.node).unwrap_or(term_ms) >= ENTRY_EXPIRY_MS
        };
        let registered = self.peers.other_entries();
        let Some(lost) = registered.iter().find(lost) else { return };
        let own_key = (COORDINATOR_KEY.to_owned(), self.revision);
        let transaction = Transaction {
            expect: vec![own_key, (lost.key(), lost.revision)],
            write: Vec::new(),
            remove: vec![lost.key()],
        };
        match self.store.commit(&transaction, self.timeout.get()).await {
            Ok(_) => spdlog::info!("event=entry_deregistered node={}", lost.node),
            // A later call tries again if the entry is still lost.
            Err(error) => spdlog::debug!("event=entry_deregister_failed why=\"{error}\""),
        }
    }

    /// Returns the revision of the coordinator's key if it still names this term.
    fn own_term_revision(&self, item: Option<KeyValue>) -> Result<u64, TermLost> {
        let item = item.ok_or(TermLost)?;
        let record = CoordinatorRecord::decode(&item.value).map_err(|_| TermLost)?;
        let is_own_term =
            record.incarnation == self.record.incarnation && record.term == self.record.term;
        if is_own_term { Ok(item.revision) } else { Err(TermLost) }
    }

    /// Records that the store has confirmed the term in response to a call sent at `requested_ms`,
    /// and reports it to the driver.
    pub(super) async fn report_confirmed(&self, requested_ms: u64) {
        let received_ms = BootClock.now_ms();
        self.confirmed_ms.store(received_ms, Ordering::Relaxed);
        // Sending fails only if the term has ended.
        let _ = self.inputs.send(Input::TermConfirmed { requested_ms, received_ms }).await;
    }

    /// Records in the key that the coordinator has stepped down. A successor then takes over at
    /// once and waits only for the predecessor leases in the key.
    pub async fn step_down(&mut self) {
        self.record.stepped_down = true;
        self.record.predecessor_leases = self.successor_leases.remaining_at(BootClock.now_ms());
        let transaction = Transaction {
            expect: vec![(COORDINATOR_KEY.to_owned(), self.revision)],
            write: vec![(COORDINATOR_KEY.to_owned(), self.record.encode())],
            remove: Vec::new(),
        };
        let started_at = tokio::time::Instant::now();
        let result = self.store.commit(&transaction, self.timeout.get()).await;
        let (term, elapsed_ms) = (self.record.term, started_at.elapsed().as_millis());
        match result {
            Ok(_) => spdlog::info!("event=stepped_down term={term} elapsed_ms={elapsed_ms}"),
            Err(error) => spdlog::warn!(
                "event=step_down_failed term={term} elapsed_ms={elapsed_ms} why=\"{error}\""
            ),
        }
    }
}
