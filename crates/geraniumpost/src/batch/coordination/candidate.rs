//! An entry as a candidate: it learns who coordinates, and takes over when nobody does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use geraniumpost_batch::Inheritance;
use geraniumpost_batch::quorum::Voters;
use geraniumpost_platform::{CommitError, KeyValue, NodeSettings, Store, Transaction};
use geraniumpost_schema::Name;
use rand::Rng as _;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::super::BootClock;
use super::super::entry::{InForce, LinkState};
use super::doorway::{Doorway, Inputs};
use super::loss::{CoordinatorLoss, SILENCE_MS, detect_loss};
use super::own_promises::OwnPromises;
use super::peers::Peers;
use super::record::CoordinatorRecord;
use super::term::Term;
use super::{COORDINATOR_KEY, Known};
use crate::metrics::Metrics;

/// Longest time one call to the store may take here.
const CALL: Duration = Duration::from_millis(700);
/// Pause after the store failed.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest random pause before a takeover, so that candidates seldom meet.
const STAGGER_MS: u64 = 120;
/// How long an entry that reaches no other one waits before it takes over all the same, in
/// milliseconds: it may be the one that is cut off, and would take the agents' coordinator away.
const ALONE_MS: u64 = 3_000;
/// Longest time for which a lease is ever extended, in milliseconds.
const LONGEST_HOLD_MS: u64 = 5_000;
/// Kept below the longest hold that minions allow, in milliseconds.
const HOLD_MARGIN_MS: u64 = 500;

/// A candidate for coordinating.
pub struct Candidate {
    store: Arc<Store>,
    node: Name,
    address: SocketAddr,
    promises: Arc<OwnPromises>,
    peers: Arc<Peers>,
    admission: Option<SocketAddr>,
    /// A larger share of a processor makes a better coordinator.
    handicap_ms: u64,
    hold_ms: u64,
    known: watch::Sender<Option<Known>>,
    link: watch::Receiver<LinkState>,
    in_force: Arc<InForce>,
    metrics: Arc<Metrics>,
    confirmed_ms: Arc<AtomicU64>,
}

/// What readings of the store have shown.
#[derive(Debug, Default)]
struct Seen {
    /// Revision of the key at which its holder was found not to coordinate.
    gone: Option<u64>,
    /// Whether the last reading failed.
    missed: bool,
    /// When a reading succeeded after one that failed, on the boot clock.
    readable_since_ms: Option<u64>,
}

impl Seen {
    fn note(&mut self, readable: bool) {
        if readable && self.missed {
            self.readable_since_ms = Some(BootClock.now_ms());
        }
        self.missed = !readable;
    }
}

impl Candidate {
    /// Returns a candidate that publishes the coordinator through `known`.
    pub fn new(
        settings: &NodeSettings,
        store: Arc<Store>,
        known: watch::Sender<Option<Known>>,
        link: watch::Receiver<LinkState>,
        in_force: Arc<InForce>,
        promises: Arc<OwnPromises>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let hold_ms = settings.bounds.max_lease_ms.saturating_sub(HOLD_MARGIN_MS);
        let address = SocketAddr::new(settings.ip, settings.peer_port);
        Self {
            store,
            node: settings.node.clone(),
            address,
            peers: Arc::new(Peers::new(settings.node.clone(), address)),
            admission: settings.admission_address,
            promises,
            handicap_ms: (8.0 / settings.cpu_share.max(0.05)) as u64,
            hold_ms: hold_ms.min(LONGEST_HOLD_MS),
            known,
            link,
            in_force,
            metrics,
            confirmed_ms: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Returns the other entries as this one knows them.
    pub fn peers(&self) -> Arc<Peers> {
        Arc::clone(&self.peers)
    }

    /// Runs for as long as the process does. Once that is asked to stop, it only learns who
    /// coordinates, for the callers that are still served.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let (inputs_tx, inputs) = watch::channel::<Inputs>(None);
        let doorway = Doorway {
            inputs,
            confirmed_ms: Arc::clone(&self.confirmed_ms),
            link: self.link.clone(),
            in_force: Arc::clone(&self.in_force),
            known: self.known.subscribe(),
            promises: Arc::clone(&self.promises),
        };
        tokio::spawn(Arc::new(doorway).serve(listener));
        while let Err(error) = self.peers.announce(&self.store, CALL).await {
            spdlog::debug!("event=announce_failed why=\"{error}\"");
            tokio::time::sleep(PAUSE).await;
        }
        tokio::spawn(Arc::clone(&self.peers).follow(Arc::clone(&self.store)));
        let mut seen = Seen::default();
        loop {
            self.once(&inputs_tx, &stop, &mut seen).await;
        }
    }

    /// Learns who coordinates, and waits until that changes or takes over.
    async fn once(
        &self,
        inputs: &watch::Sender<Inputs>,
        stop: &watch::Receiver<bool>,
        seen: &mut Seen,
    ) {
        let item = self.store.get(COORDINATOR_KEY, CALL).await;
        seen.note(item.is_ok());
        let Ok(item) = item else {
            return self.learn_from_peers().await;
        };
        let Some((record, revision)) = read(item.as_ref()) else {
            self.stagger().await;
            self.take_over(item.as_ref(), CoordinatorLoss::Ended, inputs, stop).await;
            return;
        };
        if record.stepped_down {
            // Whoever comes second finds the key taken, which costs it one call.
            tokio::time::sleep(Duration::from_millis(self.handicap_ms)).await;
            self.take_over(item.as_ref(), CoordinatorLoss::Ended, inputs, stop).await;
            return;
        }
        if record.node == self.node {
            // An earlier process on this VM, or an earlier term of this one.
            self.take_over(item.as_ref(), CoordinatorLoss::Ended, inputs, stop).await;
            return;
        }
        let known = Known { address: record.address, fence: record.term };
        known.publish(&self.known);
        let loss = self.lost(&known, seen.readable_since_ms).await;
        if loss == CoordinatorLoss::Ended && seen.gone.replace(revision) != Some(revision) {
            // It is about to say so in its key, or somebody has followed it; a takeover of the key as
            // it was read would only fail.
            return;
        }
        if self.may_take_over(&record, loss, seen).await {
            self.stagger().await;
            self.take_over(item.as_ref(), loss, inputs, stop).await;
        }
    }

    /// Learns from the other entries who coordinates, while the store does not answer this one.
    async fn learn_from_peers(&self) {
        let fence = self.known.borrow().map_or(0, |known| known.fence);
        if let Some(successor) = self.peers.successor(fence).await {
            successor.publish(&self.known);
        }
        tokio::time::sleep(PAUSE).await;
    }

    async fn stagger(&self) {
        let pause_ms = self.handicap_ms + rand::rng().random_range(0..STAGGER_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Waits until the coordinator seems lost.
    async fn lost(&self, known: &Known, readable_since_ms: Option<u64>) -> CoordinatorLoss {
        loop {
            tokio::time::sleep(PAUSE).await;
            let link = *self.link.borrow();
            if link.address != Some(known.address) {
                continue;
            }
            if let Some(loss) = detect_loss(&link, readable_since_ms, BootClock.now_ms()) {
                return loss;
            }
        }
    }

    /// Asks the other entries whether the coordinator answers them.
    ///
    /// An entry that is cut off sees the coordinator vanish while it serves everybody else. Were it
    /// to take over, agents would obey a coordinator that none of them reaches, and all work would
    /// stop; its users would see jobs that do not begin.
    async fn may_take_over(
        &self,
        record: &CoordinatorRecord,
        loss: CoordinatorLoss,
        seen: &mut Seen,
    ) -> bool {
        let link = *self.link.borrow();
        let silent_ms = BootClock.now_ms().saturating_sub(link.last_heard_ms);
        if loss == CoordinatorLoss::Silent && link.failed_connects == 0 && silent_ms < SILENCE_MS {
            // It says itself that it misses the store, which may be away for everybody.
            let readable = self.store.get(COORDINATOR_KEY, CALL).await.is_ok();
            seen.note(readable);
            return link.store_unreachable_since_ms.is_some() && readable;
        }
        let probed = self.peers.probe(Some(&record.node)).await;
        if probed.iter().any(|probed| probed.answered) {
            spdlog::info!("event=coordinator_answers_others node={}", record.node);
            tokio::time::sleep(PAUSE).await;
            return false;
        }
        let (answers, others) = (probed.len(), self.peers.count(&record.node));
        answers > 0 || others == 0 || loss == CoordinatorLoss::Ended || silent_ms > ALONE_MS
    }

    /// Takes the coordinator's key, if it still is as it was read, and coordinates.
    async fn take_over(
        &self,
        item: Option<&KeyValue>,
        loss: CoordinatorLoss,
        inputs: &watch::Sender<Inputs>,
        stop: &watch::Receiver<bool>,
    ) {
        if *stop.borrow() {
            return tokio::time::sleep(PAUSE).await;
        }
        let before = read(item).map(|(record, _)| record);
        let (record, inheritance) = self.next_term(before, item, loss);
        let revision = item.map_or(0, |item| item.revision);
        let put = Transaction {
            expect: vec![(COORDINATOR_KEY.to_owned(), revision)],
            write: vec![(COORDINATOR_KEY.to_owned(), record.encode())],
            remove: Vec::new(),
        };
        let asked_ms = BootClock.now_ms();
        let taken = match self.store.commit(&put, CALL).await {
            Ok(taken) => taken,
            Err(CommitError::NotApplied(_)) => return tokio::time::sleep(PAUSE).await,
            // The next reading shows who holds the key. If an unanswered call was carried out, the
            // key names this process, and is simply taken again.
            Err(CommitError::Conflict(_) | CommitError::Indeterminate(_)) => return,
        };
        let term = Term {
            store: Arc::clone(&self.store),
            record,
            revision: taken,
            hold_ms: self.hold_ms,
            asked_ms,
            taken: BootClock.now(),
            inheritance,
            confirmed_ms: Arc::clone(&self.confirmed_ms),
            peers: Arc::clone(&self.peers),
            promises: Arc::clone(&self.promises),
            admission: self.admission,
            metrics: Arc::clone(&self.metrics),
        };
        let fence = term.record.term;
        spdlog::info!(
            "event=take_over fence={fence} revision={taken} after={loss:?} silent={:?} unreached={:?}",
            term.inheritance.silent,
            term.inheritance.unreached
        );
        self.known.send_replace(Some(Known { address: self.address, fence }));
        term.run(inputs, stop.clone()).await;
        self.known.send_replace(None);
    }

    /// Returns the record of the term that follows the one in the key, and what that one leaves behind.
    fn next_term(
        &self,
        before: Option<CoordinatorRecord>,
        item: Option<&KeyValue>,
        loss: CoordinatorLoss,
    ) -> (CoordinatorRecord, Inheritance) {
        // A revision of the store is higher than any before it, whatever was written or removed.
        let revision = item.map_or(0, |item| item.revision);
        let term = before.as_ref().map_or(0, |before| before.term).max(revision) + 1;
        // Those of the term before, as the entries that answer are not known yet.
        let own = before.as_ref().map_or_else(Voters::default, |before| {
            before.voters_of(before.term).without(&self.node)
        });
        let (mut voters, inheritance) = before.map_or_else(Default::default, |before| {
            // One that is silent may answer again, and then tells whether it still coordinates.
            let silent = (loss == CoordinatorLoss::Silent).then_some((before.address, before.term));
            let inheritance =
                before.predecessor_leases.taken_over(silent, self.address, self.hold_ms);
            (before.voters, inheritance)
        });
        voters.insert(term, own);
        let mut record = CoordinatorRecord {
            node: self.node.clone(),
            address: self.address,
            incarnation: self.promises.incarnation(),
            term,
            barrier: 0,
            stepped_down: false,
            predecessor_leases: inheritance.clone().while_coordinating(),
            voters,
        };
        record.prune_voters();
        (record, inheritance)
    }
}

fn read(item: Option<&KeyValue>) -> Option<(CoordinatorRecord, u64)> {
    let item = item?;
    CoordinatorRecord::decode(&item.value).ok().map(|record| (record, item.revision))
}
