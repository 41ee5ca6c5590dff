//! An entry's candidacy: follows the current coordinator, and takes over when the coordinator is
//! lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use geraniumpost_batch::quorum::Voters;
use geraniumpost_batch::{Features, PredecessorLeases};
use geraniumpost_platform::{CommitError, KeyValue, NodeSettings, Store, Transaction};
use geraniumpost_schema::Name;
use rand::Rng as _;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::super::BootClock;
use super::super::entry::{ActiveConfiguration, LinkState};
use super::coordinator_loss::{COORDINATOR_LOSS_MS, CoordinatorLoss, detect_loss};
use super::handover::HandoverTimes;
use super::local_promises::LocalPromises;
use super::peer_listener::{CurrentTermDestinations, PeerListener};
use super::peers::Peers;
use super::record::CoordinatorRecord;
use super::stop_time::StopTime;
use super::term::Term;
use super::{COORDINATOR_KEY, KnownCoordinator};
use crate::metrics::Metrics;

/// Timeout of a read or write of the coordinator's key, and of the first registration.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a failed call to the store, and between checks of whether the coordinator is lost.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Upper bound of the random part of the delay before a takeover, in milliseconds. Different delays
/// keep candidates from competing for the key.
const MAX_RANDOM_DELAY_MS: u64 = 120;
/// Silence of the coordinator after which an entry that reaches no other entry takes over, in
/// milliseconds. It is long because the entry itself may be partitioned, and would then replace a
/// coordinator that still serves the agents.
const ISOLATED_TAKEOVER_MS: u64 = 3_000;
/// Upper bound of the duration of leases, in milliseconds.
const MAX_LEASE_MS: u64 = 5_000;
/// Margin between the longest lease that minions accept and the lease that is granted, in
/// milliseconds.
const LEASE_MARGIN_MS: u64 = 500;

/// Follows the coordinator on behalf of one entry, and competes for the coordinator's key when the
/// coordinator is lost.
pub struct Candidate {
    store: Arc<Store>,
    node: Name,
    address: SocketAddr,
    promises: Arc<LocalPromises>,
    peers: Arc<Peers>,
    admission_address: Option<SocketAddr>,
    /// Delay before a takeover. It is shorter for entries with a larger share of a processor, which
    /// are preferred as coordinators.
    takeover_delay_ms: u64,
    lease_ms: u64,
    known_coordinator: watch::Sender<Option<KnownCoordinator>>,
    link: watch::Receiver<LinkState>,
    configuration: Arc<ActiveConfiguration>,
    metrics: Arc<Metrics>,
    confirmed_ms: Arc<AtomicU64>,
    handover_times: HandoverTimes,
    evacuation_bound_ms: Option<u64>,
    features: Features,
    stop_time: StopTime,
    coordinating: watch::Sender<bool>,
}

/// Results of earlier reads of the coordinator's key.
#[derive(Debug, Default)]
struct StoreObservations {
    /// Revision of the coordinator's key when a coordinator was last found to have ended.
    ended_revision: Option<u64>,
    /// Whether the last read failed.
    last_read_failed: bool,
    /// Time at which the store last became readable again, on the monotonic clock; `None` if no
    /// read has failed before.
    readable_since_ms: Option<u64>,
}

impl StoreObservations {
    fn record_read(&mut self, is_readable: bool) {
        if is_readable && self.last_read_failed {
            self.readable_since_ms = Some(BootClock.now_ms());
        }
        self.last_read_failed = !is_readable;
    }
}

impl Candidate {
    /// Returns a candidate that publishes the current coordinator through `known_coordinator`.
    pub fn new(
        settings: &NodeSettings,
        store: Arc<Store>,
        known_coordinator: watch::Sender<Option<KnownCoordinator>>,
        link: watch::Receiver<LinkState>,
        configuration: Arc<ActiveConfiguration>,
        promises: Arc<LocalPromises>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let lease_ms = settings.bounds.max_lease_ms.saturating_sub(LEASE_MARGIN_MS);
        let address = SocketAddr::new(settings.ip, settings.peer_port);
        Self {
            store,
            node: settings.node.clone(),
            address,
            peers: Arc::new(Peers::new(settings.node.clone(), address)),
            admission_address: settings.admission_address,
            promises,
            takeover_delay_ms: (8.0 / settings.cpu_share.max(0.05)) as u64,
            lease_ms: lease_ms.min(MAX_LEASE_MS),
            known_coordinator,
            link,
            configuration,
            metrics,
            confirmed_ms: Arc::new(AtomicU64::new(0)),
            handover_times: HandoverTimes::default(),
            evacuation_bound_ms: None,
            features: Features::default(),
            stop_time: StopTime::default(),
            coordinating: watch::Sender::new(false),
        }
    }

    /// Sets the time after the acknowledgement of an evacuation within which the last task may start
    /// in the evacuated failure domain, in milliseconds; by default domains are not evacuated.
    #[must_use]
    pub const fn with_evacuation_bound_ms(mut self, bound_ms: Option<u64>) -> Self {
        self.evacuation_bound_ms = bound_ms;
        self
    }

    /// Sets which optional decisions this entry makes as coordinator; by default none.
    #[must_use]
    pub const fn with_features(mut self, features: Features) -> Self {
        self.features = features;
        self
    }

    /// Sets when a term is handed over after the process was asked to stop; by default at once.
    #[must_use]
    pub const fn with_handover_times(mut self, times: HandoverTimes) -> Self {
        self.handover_times = times;
        self
    }

    /// Returns a receiver that is true while this entry takes over or coordinates.
    pub fn coordinating(&self) -> watch::Receiver<bool> {
        self.coordinating.subscribe()
    }

    /// Returns the registry of the other entries.
    pub fn peers(&self) -> Arc<Peers> {
        Arc::clone(&self.peers)
    }

    /// Runs until the process exits. After `stop` turns true, the candidate takes over only if the
    /// coordinator has stepped down and nobody else takes over, and otherwise follows the current
    /// coordinator to serve the remaining callers.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        tokio::spawn(self.stop_time.clone().record(stop.clone()));
        let (destinations_tx, destinations) = watch::channel::<CurrentTermDestinations>(None);
        let peer_listener = PeerListener {
            destinations,
            confirmed_ms: Arc::clone(&self.confirmed_ms),
            link: self.link.clone(),
            configuration: Arc::clone(&self.configuration),
            known_coordinator: self.known_coordinator.subscribe(),
            promises: Arc::clone(&self.promises),
        };
        tokio::spawn(Arc::new(peer_listener).serve(listener));
        while let Err(error) = self.peers.register(&self.store, STORE_CALL_TIMEOUT).await {
            spdlog::debug!("event=register_failed why=\"{error}\"");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        tokio::spawn(Arc::clone(&self.peers).refresh_periodically(Arc::clone(&self.store)));
        let mut observations = StoreObservations::default();
        loop {
            self.run_once(&destinations_tx, &stop, &mut observations).await;
        }
    }

    /// Reads the coordinator's key, waits until the coordinator named there is lost, and takes over
    /// if allowed.
    async fn run_once(
        &self,
        destinations: &watch::Sender<CurrentTermDestinations>,
        stop: &watch::Receiver<bool>,
        observations: &mut StoreObservations,
    ) {
        let item = self.store.get(COORDINATOR_KEY, STORE_CALL_TIMEOUT).await;
        observations.record_read(item.is_ok());
        let Ok(item) = item else {
            return self.learn_from_peers().await;
        };
        let Some((record, revision)) = decode_record(item.as_ref()) else {
            self.await_takeover_delay().await;
            self.take_over(item.as_ref(), CoordinatorLoss::Ended, destinations, stop).await;
            return;
        };
        if record.stepped_down {
            // Without a random delay two candidates may compete. The second one's transaction
            // fails, which costs only one call.
            let delay = if *stop.borrow() {
                self.handover_times.takeover_delay(&self.stop_time)
            } else {
                Some(Duration::from_millis(self.takeover_delay_ms))
            };
            tokio::time::sleep(delay.unwrap_or(RETRY_PAUSE)).await;
            if delay.is_some() {
                self.commit_takeover(item.as_ref(), CoordinatorLoss::Ended, destinations, stop)
                    .await;
            }
            return;
        }
        if record.node == self.node {
            // The record is from an earlier process of this entry, or from an earlier term of this
            // process.
            self.take_over(item.as_ref(), CoordinatorLoss::Ended, destinations, stop).await;
            return;
        }
        let coordinator = KnownCoordinator { address: record.address, fence: record.term };
        coordinator.publish(&self.known_coordinator);
        let loss = self.wait_for_loss(&coordinator, observations.readable_since_ms).await;
        if loss == CoordinatorLoss::Ended
            && observations.ended_revision.replace(revision) != Some(revision)
        {
            // The coordinator may be about to record that it stepped down, or have a successor
            // already. A takeover at this revision would then fail, so the key is read again first.
            return;
        }
        if self.may_take_over(&record, loss, observations).await {
            self.await_takeover_delay().await;
            self.take_over(item.as_ref(), loss, destinations, stop).await;
        }
    }

    /// Asks the other entries for the current coordinator, after the store did not respond to this
    /// entry.
    async fn learn_from_peers(&self) {
        let fence = self.known_coordinator.borrow().map_or(0, |coordinator| coordinator.fence);
        if let Some(successor) = self.peers.find_successor(fence).await {
            successor.publish(&self.known_coordinator);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    async fn await_takeover_delay(&self) {
        let pause_ms = self.takeover_delay_ms + rand::rng().random_range(0..MAX_RANDOM_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Waits until the state of the link shows that the coordinator is lost, and returns how it was
    /// lost.
    async fn wait_for_loss(
        &self,
        coordinator: &KnownCoordinator,
        readable_since_ms: Option<u64>,
    ) -> CoordinatorLoss {
        loop {
            tokio::time::sleep(RETRY_PAUSE).await;
            let link = *self.link.borrow();
            if link.address != Some(coordinator.address) {
                continue;
            }
            if let Some(loss) = detect_loss(&link, readable_since_ms, BootClock.now_ms()) {
                return loss;
            }
        }
    }

    /// Returns whether this entry may take over. Asks the other entries whether the coordinator
    /// still responds to them.
    ///
    /// A partitioned entry loses the coordinator while all others still reach it. If it took over,
    /// the agents would have to follow a coordinator that none of them can reach, and no job would
    /// start.
    async fn may_take_over(
        &self,
        record: &CoordinatorRecord,
        loss: CoordinatorLoss,
        observations: &mut StoreObservations,
    ) -> bool {
        let link = *self.link.borrow();
        let silent_ms = BootClock.now_ms().saturating_sub(link.last_heard_ms);
        if loss == CoordinatorLoss::Silent
            && link.failed_connects == 0
            && silent_ms < COORDINATOR_LOSS_MS
        {
            // The coordinator reports that it does not reach the store. The store may be
            // unavailable to all entries, so this entry checks that it can read the store itself.
            let is_readable = self.store.get(COORDINATOR_KEY, STORE_CALL_TIMEOUT).await.is_ok();
            observations.record_read(is_readable);
            return link.store_unreachable_since_ms.is_some() && is_readable;
        }
        let probe_results = self.peers.probe_others(Some(&record.node)).await;
        if probe_results.iter().any(|result| result.coordinator_responds) {
            spdlog::info!("event=coordinator_responds_to_others node={}", record.node);
            tokio::time::sleep(RETRY_PAUSE).await;
            return false;
        }
        let (response_count, other_count) =
            (probe_results.len(), self.peers.count_except(&record.node));
        response_count > 0
            || other_count == 0
            || loss == CoordinatorLoss::Ended
            || silent_ms > ISOLATED_TAKEOVER_MS
    }

    /// Takes over unless this entry is stopping, and coordinates until the term ends.
    async fn take_over(
        &self,
        item: Option<&KeyValue>,
        loss: CoordinatorLoss,
        destinations: &watch::Sender<CurrentTermDestinations>,
        stop: &watch::Receiver<bool>,
    ) {
        if *stop.borrow() {
            return tokio::time::sleep(RETRY_PAUSE).await;
        }
        self.commit_takeover(item, loss, destinations, stop).await;
    }

    /// Takes over the coordinator's key if it has not changed since it was read, and coordinates
    /// until the term ends.
    async fn commit_takeover(
        &self,
        item: Option<&KeyValue>,
        loss: CoordinatorLoss,
        destinations: &watch::Sender<CurrentTermDestinations>,
        stop: &watch::Receiver<bool>,
    ) {
        // The process must not exit while the key may name it.
        self.coordinating.send_replace(true);
        self.try_takeover(item, loss, destinations, stop).await;
        self.coordinating.send_replace(false);
    }

    async fn try_takeover(
        &self,
        item: Option<&KeyValue>,
        loss: CoordinatorLoss,
        destinations: &watch::Sender<CurrentTermDestinations>,
        stop: &watch::Receiver<bool>,
    ) {
        let previous = decode_record(item).map(|(record, _)| record);
        let (record, predecessor_leases) = self.next_term(previous, item, loss);
        let revision = item.map_or(0, |item| item.revision);
        let transaction = Transaction {
            expect: vec![(COORDINATOR_KEY.to_owned(), revision)],
            write: vec![(COORDINATOR_KEY.to_owned(), record.encode())],
            remove: Vec::new(),
        };
        let requested_ms = BootClock.now_ms();
        let term_revision = match self.store.commit(&transaction, STORE_CALL_TIMEOUT).await {
            Ok(revision) => revision,
            Err(CommitError::NotApplied(_)) => return tokio::time::sleep(RETRY_PAUSE).await,
            // The next read shows which entry holds the key. If this commit was applied without a
            // response, the key names this process, which then takes over again.
            Err(CommitError::Conflict(_) | CommitError::Indeterminate(_)) => return,
        };
        let term = Term {
            store: Arc::clone(&self.store),
            record,
            revision: term_revision,
            lease_ms: self.lease_ms,
            requested_ms,
            began: BootClock.now(),
            predecessor_leases,
            confirmed_ms: Arc::clone(&self.confirmed_ms),
            peers: Arc::clone(&self.peers),
            promises: Arc::clone(&self.promises),
            admission_address: self.admission_address,
            handover_times: self.handover_times,
            stop_time: self.stop_time.clone(),
            evacuation_bound_ms: self.evacuation_bound_ms,
            features: self.features,
            configuration: Arc::clone(&self.configuration),
            metrics: Arc::clone(&self.metrics),
        };
        let fence = term.record.term;
        spdlog::info!(
            "event=take_over fence={fence} revision={term_revision} after={loss:?} silent={:?} \
             unreached={:?}",
            term.predecessor_leases.silent,
            term.predecessor_leases.unreached
        );
        self.known_coordinator
            .send_replace(Some(KnownCoordinator { address: self.address, fence }));
        term.run(destinations, stop.clone()).await;
        self.known_coordinator.send_replace(None);
    }

    /// Returns the record of the next term, and the leases that earlier coordinators may have
    /// extended.
    fn next_term(
        &self,
        previous: Option<CoordinatorRecord>,
        item: Option<&KeyValue>,
        loss: CoordinatorLoss,
    ) -> (CoordinatorRecord, PredecessorLeases) {
        // No term exceeds the revision at which its record was written. Therefore the new term is
        // higher than all earlier ones even if the previous record cannot be decoded.
        let revision = item.map_or(0, |item| item.revision);
        let term = previous.as_ref().map_or(0, |previous| previous.term).max(revision) + 1;
        // The voters of the previous term, because no entry has responded in the new term yet.
        let voters_except_self = previous.as_ref().map_or_else(Voters::default, |previous| {
            previous.voters_of(previous.term).without(&self.node)
        });
        let (mut voters, predecessor_leases) = previous.map_or_else(Default::default, |previous| {
            // The address allows the successor to probe the silent coordinator, which may respond
            // again.
            let silent =
                (loss == CoordinatorLoss::Silent).then_some((previous.address, previous.term));
            let predecessor_leases =
                previous.predecessor_leases.after_takeover(silent, self.address, self.lease_ms);
            (previous.voters, predecessor_leases)
        });
        voters.insert(term, voters_except_self);
        let mut record = CoordinatorRecord {
            node: self.node.clone(),
            address: self.address,
            incarnation: self.promises.incarnation(),
            term,
            barrier: 0,
            stepped_down: false,
            predecessor_leases: predecessor_leases.clone().without_unreached(),
            voters,
        };
        record.prune_voters();
        (record, predecessor_leases)
    }
}

fn decode_record(item: Option<&KeyValue>) -> Option<(CoordinatorRecord, u64)> {
    let item = item?;
    CoordinatorRecord::decode(&item.value).ok().map(|record| (record, item.revision))
}
