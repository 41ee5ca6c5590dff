//! One term of a coordinator, from the takeover to its end.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use geraniumpost_batch::tuning::MAX_CONFIRMATION_AGE_MS;
use geraniumpost_batch::{
    Coordinator, Feature, Features, InterferenceSnapshot, JobId, JobRecord, Now, PredecessorLeases,
};
use geraniumpost_platform::{Admission, GetResponse, Page, Store, StoreError};
use tokio::sync::{mpsc, watch};

use super::super::entry::ActiveConfiguration;
use super::super::{BootClock, hedged_read};
use super::adaptive_timeout::AdaptiveTimeout;
use super::driver::{ApprovalRequest, Driver, Input};
use super::evacuations::follow_evacuations;
use super::handover::{HandoverTimes, signal_handover};
use super::local_promises::LocalPromises;
use super::peer_listener::{CurrentTermDestinations, TermDestinations};
use super::peers::{Peers, probe_entry};
use super::record::CoordinatorRecord;
use super::release_requester::{ReleaseRequester, SilentTerm};
use super::stop_time::StopTime;
use super::successor_leases::SuccessorLeases;
use super::term_support::TermSupport;
use super::writer::{TermLost, Writer};
use super::{INTERFERENCE_KEY, JOB_PREFIX};
use crate::metrics::Metrics;

const INPUT_QUEUE_CAPACITY: usize = 4_096;
/// Capacity of the queue of requests to the admission service. The coordinator has one request in
/// flight; it may have given up another one that still has no response.
const APPROVAL_QUEUE_CAPACITY: usize = 1;
/// Capacity of the writer's queue, in batches. The coordinator never has more batches in flight.
const WRITE_QUEUE_CAPACITY: usize = 8;
/// Interval at which further attempts to read records start, until one succeeds.
const READ_ATTEMPT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Maximum time without new bytes while the body of a response is received.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of one request to the admission service, which needs some milliseconds for each minion
/// in the request.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two probes of the other entries for a successor, or of a silent predecessor.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// A term in which this entry coordinates. Created after the takeover.
pub struct Term {
    pub store: Arc<Store>,
    pub record: CoordinatorRecord,
    /// Revision of the coordinator's key after the takeover.
    pub revision: u64,
    /// Duration of leases on tasks, in milliseconds.
    pub lease_ms: u64,
    /// Time at which the takeover was sent to the store, on the monotonic clock.
    pub requested_ms: u64,
    /// Time at which the store's confirmation of the takeover was received, on both clocks.
    pub began: Now,
    /// Leases that earlier coordinators may have extended, as of the takeover.
    pub predecessor_leases: PredecessorLeases,
    pub confirmed_ms: Arc<AtomicU64>,
    /// The other entries, which may know a successor.
    pub peers: Arc<Peers>,
    /// This entry's promises to earlier coordinators, which the takeover releases.
    pub promises: Arc<LocalPromises>,
    /// Address of the service that approves minions for steps, if configured.
    pub admission_address: Option<SocketAddr>,
    pub handover_times: HandoverTimes,
    pub stop_time: StopTime,
    /// As in [`TimeBounds::evacuation_ms`](geraniumpost_platform::TimeBounds::evacuation_ms).
    pub evacuation_bound_ms: Option<u64>,
    /// Optional decisions of the coordinator.
    pub features: Features,
    /// Configuration of this entry, from which the coordinator takes the weights of queues.
    pub configuration: Arc<ActiveConfiguration>,
    pub metrics: Arc<Metrics>,
}

impl Term {
    /// Coordinates until the term is lost, or until it is handed over after the process was asked to
    /// stop.
    pub async fn run(
        self,
        destinations: &watch::Sender<CurrentTermDestinations>,
        stop: watch::Receiver<bool>,
    ) {
        let (tx, mut rx) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        self.confirmed_ms.store(BootClock.now_ms(), Ordering::Relaxed);
        // From now on links are accepted, and messages of peers are queued until the records are
        // read.
        let voters = self.record.voters_of(self.record.term);
        let support =
            Arc::new(TermSupport::new(self.record.node.clone(), self.record.term, voters));
        destinations.send_replace(Some(TermDestinations {
            driver_inputs: tx.clone(),
            support: Arc::clone(&support),
        }));
        self.query_silent_coordinators(&tx);
        if self.evacuation_bound_ms.is_some() {
            tokio::spawn(follow_evacuations(Arc::clone(&self.store), tx.clone()));
        }
        let (hand_over_tx, hand_over) = watch::channel(false);
        tokio::spawn(signal_handover(
            stop,
            self.stop_time.clone(),
            self.handover_times,
            Arc::clone(&support),
            Arc::clone(&self.peers),
            hand_over_tx,
        ));
        let successor_leases = Arc::new(SuccessorLeases::new(
            self.predecessor_leases.clone().without_unreached(),
            self.began.steady_ms,
        ));
        let mut writer = Writer {
            store: Arc::clone(&self.store),
            record: self.record.clone(),
            revision: self.revision,
            inputs: tx.clone(),
            confirmed_ms: Arc::clone(&self.confirmed_ms),
            timeout: AdaptiveTimeout::default(),
            successor_leases: Arc::clone(&successor_leases),
            support: Arc::clone(&support),
            peers: Arc::clone(&self.peers),
            term_began_ms: self.began.steady_ms,
            metrics: Arc::clone(&self.metrics),
            returns_batches: self.features.contains(Feature::Admission),
            attempted: BTreeSet::new(),
        };
        let (records, interference) =
            tokio::join!(self.read_records(hand_over.clone()), self.read_interference());
        let Some(records) = records else {
            // No lease was extended in this term, so that those of unreached agents are known.
            successor_leases.set(self.predecessor_leases.clone(), self.began.steady_ms);
            writer.step_down().await;
            destinations.send_replace(None);
            return;
        };
        let now = BootClock.now();
        spdlog::info!(
            "event=coordinating fence={} term={} jobs={}",
            self.record.term,
            self.record.term,
            records.len()
        );
        let coordinator = Coordinator::new(self.record.term, now)
            .with_lease_ms(self.lease_ms)
            .with_term_requested_ms(self.requested_ms)
            .with_features(self.features)
            .with_evacuation_bound_ms(self.evacuation_bound_ms)
            .with_predecessor_leases(&self.predecessor_leases, self.began)
            .with_interference(&interference)
            .with_records(records, now);
        let (writes_tx, mut writes) = mpsc::channel(WRITE_QUEUE_CAPACITY);
        let (approval_requests_tx, approval_requests) = mpsc::channel(APPROVAL_QUEUE_CAPACITY);
        if let Some(address) = self.admission_address {
            tokio::spawn(serve_approval_requests(Admission::new(address), approval_requests, tx));
        } else {
            // Closes the queue, so that steps which need an approval keep waiting.
            drop(approval_requests);
        }
        self.metrics.planner_term(writer.record.term);
        let confirmed_ms = Arc::clone(&writer.confirmed_ms);
        let await_successor = await_successor(self.peers, confirmed_ms, writer.record.term);
        let metrics = Arc::clone(&self.metrics);
        let driver = Driver::new(
            coordinator,
            writes_tx,
            approval_requests_tx,
            successor_leases,
            support,
            Arc::clone(&self.configuration),
            metrics,
        );
        let ended = tokio::select! {
            end = driver.run(&mut rx) => {
                spdlog::warn!("event=term_ended why=\"{end:?}\"");
                Err(TermLost)
            }
            end = writer.run(&mut writes, hand_over) => end,
            () = await_successor => Err(TermLost),
        };
        // The key records the end of the term before the links close, so that candidates that lose
        // their links can take over at once.
        match ended {
            Ok(()) => writer.step_down().await,
            Err(error) => spdlog::warn!("event=term_lost why=\"{error}\""),
        }
        destinations.send_replace(None);
        reset_metrics(&self.metrics, &self.configuration);
    }

    /// Starts to probe silent coordinators, and to request that their voters withdraw support. The
    /// results are queued until the records are read.
    fn query_silent_coordinators(&self, inputs: &mpsc::Sender<Input>) {
        let requester = ReleaseRequester {
            term: self.record.term,
            term_began_ms: self.began.steady_ms,
            promises: Arc::clone(&self.promises),
            peers: Arc::clone(&self.peers),
        };
        for (address, silent) in &self.predecessor_leases.silent {
            let (address, term) = (*address, silent.term);
            tokio::spawn(await_predecessor_end(address, term, inputs.clone()));
            let silent = SilentTerm { address, term, voters: self.record.voters_of(term) };
            tokio::spawn(requester.clone().collect_releases(silent, inputs.clone()));
        }
    }

    /// Reads the interference that earlier coordinators have learned. If the read fails, the
    /// coordinator starts without learned interference.
    async fn read_interference(&self) -> InterferenceSnapshot {
        let response = async {
            self.store
                .begin_get(INTERFERENCE_KEY, READ_ATTEMPT_INTERVAL)
                .await?
                .receive(BODY_IDLE_TIMEOUT)
                .await
        };
        let item = match response.await {
            Ok(GetResponse { item: Some(item), .. }) => item,
            Ok(GetResponse { item: None, .. }) => return InterferenceSnapshot::default(),
            Err(error) => {
                spdlog::warn!("event=read_failed what=interference why=\"{error}\"");
                return InterferenceSnapshot::default();
            }
        };
        InterferenceSnapshot::decode(&item.value).unwrap_or_else(|error| {
            spdlog::warn!("event=record_unreadable key={INTERFERENCE_KEY} why=\"{error}\"");
            InterferenceSnapshot::default()
        })
    }

    /// Reads all job records. Returns `None` if the term has to be handed over first.
    async fn read_records(
        &self,
        mut hand_over: watch::Receiver<bool>,
    ) -> Option<Vec<(JobId, JobRecord)>> {
        tokio::select! {
            records = Box::pin(self.read_all_pages()) => Some(records),
            () = crate::stop_signal::stopped(&mut hand_over) => None,
        }
    }

    /// Reads the records page by page. Only a failed page is read again: no other process changes
    /// records in this term, and a restart from the first page after each failure might never
    /// complete.
    async fn read_all_pages(&self) -> Vec<(JobId, JobRecord)> {
        let mut records = Vec::new();
        let mut last_key = None;
        loop {
            let page = self.read_page(last_key.as_deref()).await;
            self.confirmed_ms.store(BootClock.now_ms(), Ordering::Relaxed);
            records.extend(page.items.iter().filter_map(decode_job_record));
            last_key = page.items.last().map(|item| item.key.clone());
            if !page.has_more {
                return records;
            }
        }
    }

    async fn read_page(&self, after: Option<&str>) -> Page {
        let log_failure = |error: &StoreError| {
            spdlog::warn!("event=read_failed what=records why=\"{error}\"");
        };
        let attempt = |timeout| self.store.begin_page(JOB_PREFIX, after, timeout);
        loop {
            let read =
                match hedged_read(&self.store, READ_ATTEMPT_INTERVAL, attempt, log_failure).await {
                    Ok(response) => response.receive(BODY_IDLE_TIMEOUT).await,
                    Err(error) => Err(error),
                };
            match read {
                Ok(page) => return page,
                Err(error) => log_failure(&error),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Sends queued requests to the admission service, one at a time, and passes the responses to the
/// driver.
async fn serve_approval_requests(
    admission: Admission,
    mut approval_requests: mpsc::Receiver<ApprovalRequest>,
    inputs: mpsc::Sender<Input>,
) {
    while let Some((step, minions)) = approval_requests.recv().await {
        let response = admission.request_approval(step, &minions, ADMISSION_TIMEOUT).await;
        if let Err(why) = &response {
            spdlog::warn!("event=approval_failed step={step} why=\"{why}\"");
        }
        if inputs.send(Input::ApprovalResponse((step, minions), response.ok())).await.is_err() {
            return;
        }
    }
}

/// Waits until the store has been unreachable for [`MAX_CONFIRMATION_AGE_MS`] and another entry knows
/// a successor.
async fn await_successor(peers: Arc<Peers>, confirmed_ms: Arc<AtomicU64>, fence: u64) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let silent_ms = BootClock.now_ms().saturating_sub(confirmed_ms.load(Ordering::Relaxed));
        if silent_ms >= MAX_CONFIRMATION_AGE_MS && peers.find_successor(fence).await.is_some() {
            return;
        }
    }
}

/// Probes a silent coordinator until that coordinator knows a later term than `term`, and then
/// reports that its term has ended.
///
/// Any later term suffices, not only the newest. An entry with a working link to a coordinator does
/// not read the coordinator's key, and may not notice that the linked coordinator has begun another
/// term.
async fn await_predecessor_end(address: SocketAddr, term: u64, inputs: mpsc::Sender<Input>) {
    while !inputs.is_closed() {
        let known_coordinator =
            probe_entry(address).await.and_then(|result| result.known_coordinator);
        if known_coordinator.is_some_and(|coordinator| coordinator.fence > term) {
            // Sending fails only if the successor's own term has ended.
            let _ = inputs.send(Input::PredecessorEnded(address)).await;
            return;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

fn decode_job_record(item: &geraniumpost_platform::KeyValue) -> Option<(JobId, JobRecord)> {
    let id = item.key.strip_prefix(JOB_PREFIX).and_then(|id| id.parse().ok());
    match (id, JobRecord::decode(&item.value)) {
        (Some(id), Ok(record)) => Some((id, record)),
        (_, result) => {
            let why = result.err().map_or_else(|| "key".to_owned(), |error| error.to_string());
            spdlog::error!("event=record_unreadable key={} why=\"{why}\"", item.key);
            None
        }
    }
}

/// Resets the metrics that only a coordinator sets.
fn reset_metrics(metrics: &Metrics, configuration: &ActiveConfiguration) {
    metrics.planner_term(0);
    metrics.longest_wait(Duration::ZERO, Duration::ZERO);
    metrics.lease_supporters(0);
    metrics.evacuations(0, Duration::ZERO);
    metrics.store_not_committing(false);
    metrics.steps_over_disturbance_budget(0);
    if let Some(routes) = configuration.routes() {
        let weights = routes.queue_weights();
        weights.queues().for_each(|queue| metrics.queue_share(queue, 0.0));
    }
}
