//! Relays callers' requests to the coordinator, and exchanges pings and pongs with it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use geraniumpost_batch::{CallerRequest, CallerResponse, FromEntry, TermTime, ToEntry};
use geraniumpost_net::{LinkReceiver, LinkSender};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout_at};

use super::super::coordination::{KnownCoordinator, LocalPromises};
use super::super::{BootClock, FromPeer, ToPeer, peer_link};
use super::ActiveConfiguration;

/// Interval of pings. A coordinator is considered lost after three missing pongs.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum silence of the coordinator for which new requests are sent over the link, in
/// milliseconds: one missing pong is tolerated.
const MAX_TRUSTED_SILENCE_MS: u64 = 550;
/// Pause after a link has failed.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Capacity of the queue of requests to the coordinator; requests beyond it are refused.
const REQUEST_QUEUE_CAPACITY: usize = 1_024;

/// State of this entry's link to the coordinator.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Address of the coordinator to which the other fields refer.
    pub address: Option<SocketAddr>,
    /// Time at which the last pong was received, or the first connection attempt began if there was
    /// no pong, on the monotonic clock.
    pub last_heard_ms: u64,
    /// Number of failed connection attempts since the last pong.
    pub failed_connects: u32,
    /// Whether the process at the address has responded that it does not coordinate.
    pub not_coordinating: bool,
    /// Time at which the coordinator first reported in a pong that it does not reach the store, on
    /// the monotonic clock; `None` if the last pong reported that it does.
    pub store_unreachable_since_ms: Option<u64>,
}

/// A caller's request that has no response yet.
#[derive(Debug)]
struct PendingRequest {
    request: CallerRequest,
    response: oneshot::Sender<CallerResponse>,
    /// Number of copies of the request that were sent.
    sent_copies: Arc<AtomicU64>,
    /// Number of copies that the coordinator has refused.
    refused_copies: u64,
}

impl PendingRequest {
    /// Returns whether the response to one copy settles the request.
    ///
    /// Another copy is sent over each new link, and over a link that was silent for a while. The
    /// refusal of one copy does not settle the request while other copies are in flight: the
    /// coordinator may accept another copy later, when it has capacity, and the job would run
    /// although the response to the caller says that it was refused. A request that is not settled
    /// in time is reported as [`NoResponse::Unknown`].
    fn is_settled_by(&mut self, response: CallerResponse) -> bool {
        if !matches!(response, CallerResponse::Refused { .. }) {
            return true;
        }
        self.refused_copies += 1;
        self.refused_copies >= self.sent_copies.load(Ordering::SeqCst)
    }
}

/// Handle of the task that relays requests to the coordinator.
#[derive(Debug)]
pub struct Relay {
    tx: mpsc::Sender<PendingRequest>,
    state: watch::Receiver<LinkState>,
    last_pong_ms: Arc<AtomicU64>,
}

/// Why a request has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoResponse {
    /// The request was not sent, and has no effect.
    NotSent,
    /// The request was sent, and a coordinator may have handled it.
    Unknown {
        /// Number of copies of the request that were sent.
        sent_copies: u64,
    },
}

impl Relay {
    /// Starts a task that relays requests to the known coordinator.
    ///
    /// Pings carry the version of the active configuration and this entry's promise to support the
    /// coordinator. Pongs carry the newest configuration version that the coordinator knows.
    pub fn start(
        promises: Arc<LocalPromises>,
        known_coordinator: watch::Receiver<Option<KnownCoordinator>>,
        configuration: Arc<ActiveConfiguration>,
    ) -> Self {
        let (tx, rx) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let (state_tx, state) = watch::channel(LinkState::default());
        let last_pong_ms = Arc::new(AtomicU64::new(0));
        let task = RelayTask {
            promises,
            last_pong: None,
            known_coordinator,
            configuration,
            rx,
            state: state_tx,
            last_pong_ms: Arc::clone(&last_pong_ms),
            pending: HashMap::new(),
            next_request_id: 1,
        };
        tokio::spawn(task.run());
        Self { tx, state, last_pong_ms }
    }

    /// Returns a receiver of the state of the link to the coordinator.
    pub fn state(&self) -> watch::Receiver<LinkState> {
        self.state.clone()
    }

    /// Returns the time since the last pong of any coordinator, in milliseconds.
    pub fn coordinator_silence_ms(&self) -> u64 {
        BootClock.now_ms().saturating_sub(self.last_pong_ms.load(Ordering::Relaxed))
    }

    /// Sends a request to the coordinator and waits for the response. After a takeover the request
    /// is sent again to the successor, because all requests are idempotent.
    ///
    /// # Errors
    ///
    /// Fails at once if the request queue is full or closed. Fails if no response arrives: after
    /// `unsent_timeout` if the request could not be sent, otherwise after `timeout`, and in any
    /// case when `response_due` completes. The error says whether the request may have had an
    /// effect.
    pub async fn request(
        &self,
        request: CallerRequest,
        unsent_timeout: Duration,
        timeout: Duration,
        response_due: impl Future<Output = ()>,
    ) -> Result<CallerResponse, NoResponse> {
        let sent_copies = Arc::new(AtomicU64::new(0));
        let (response_tx, mut response) = oneshot::channel();
        let pending = PendingRequest {
            request,
            response: response_tx,
            sent_copies: Arc::clone(&sent_copies),
            refused_copies: 0,
        };
        self.tx.try_send(pending).map_err(|_| NoResponse::NotSent)?;
        let waiting = async {
            let started_at = Instant::now();
            let unsent_until = started_at + unsent_timeout.min(timeout);
            if let Ok(result) = timeout_at(unsent_until, &mut response).await {
                return Some(result);
            }
            if sent_copies.load(Ordering::SeqCst) == 0 {
                return None;
            }
            timeout_at(started_at + timeout, &mut response).await.ok()
        };
        let result = tokio::select! {
            result = waiting => result,
            () = response_due => None,
        };
        if let Some(result) = result {
            return result.map_err(|_| no_response(&sent_copies));
        }
        // The relay counts a copy before it checks whether this receiver is closed, and this
        // function closes the receiver before it reads the count. Therefore a request with a count
        // of 0 was not sent and never will be.
        response.close();
        if let Ok(result) = response.try_recv() {
            return Ok(result);
        }
        Err(no_response(&sent_copies))
    }
}

fn no_response(sent_copies: &AtomicU64) -> NoResponse {
    match sent_copies.load(Ordering::SeqCst) {
        0 => NoResponse::NotSent,
        sent_copies => NoResponse::Unknown { sent_copies },
    }
}

struct RelayTask {
    promises: Arc<LocalPromises>,
    /// Time at which the coordinator sent its last pong, on the coordinator's clock, and time at
    /// which the pong was received, on this process's monotonic clock.
    last_pong: Option<(TermTime, u64)>,
    known_coordinator: watch::Receiver<Option<KnownCoordinator>>,
    configuration: Arc<ActiveConfiguration>,
    rx: mpsc::Receiver<PendingRequest>,
    state: watch::Sender<LinkState>,
    last_pong_ms: Arc<AtomicU64>,
    pending: HashMap<u64, PendingRequest>,
    next_request_id: u64,
}

type Tx = LinkSender<FromPeer>;
type Rx = LinkReceiver<ToPeer>;

impl RelayTask {
    async fn run(mut self) {
        loop {
            let known_coordinator = *self.known_coordinator.borrow_and_update();
            let Some(known_coordinator) = known_coordinator else {
                tokio::select! {
                    changed = self.known_coordinator.changed() => if changed.is_err() { return },
                    pending = self.rx.recv() => match pending {
                        Some(pending) => self.enqueue(pending, None),
                        None => return,
                    },
                }
                continue;
            };
            self.set_coordinator(known_coordinator.address);
            match peer_link::dial::<FromPeer, ToPeer>(known_coordinator.address).await {
                Ok((tx, rx)) => self.serve_link(tx, rx).await,
                Err(error) => {
                    spdlog::debug!(
                        "event=link_failed to={} why=\"{error}\"",
                        known_coordinator.address
                    );
                    self.state.send_modify(|state| state.failed_connects += 1);
                }
            }
            self.pending.retain(|_, pending| !pending.response.is_closed());
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Resets the state of the link if the coordinator's address has changed.
    fn set_coordinator(&self, address: SocketAddr) {
        self.state.send_if_modified(|state| {
            let is_other = state.address != Some(address);
            if is_other {
                let last_heard_ms = BootClock.now_ms();
                *state =
                    LinkState { address: Some(address), last_heard_ms, ..LinkState::default() };
            }
            is_other
        });
    }

    async fn serve_link(&mut self, tx: Tx, mut rx: Rx) {
        let (node, incarnation) = (self.promises.node().clone(), self.promises.incarnation());
        if tx.send(FromPeer::EntryHello { node, incarnation }).is_err() {
            return;
        }
        self.resend(&tx);
        let mut pings = tokio::time::interval(PING_INTERVAL);
        loop {
            tokio::select! {
                message = rx.next() => {
                    let Some(message) = message else { return };
                    let was_trusted = self.link_silent_ms() < MAX_TRUSTED_SILENCE_MS;
                    if !self.handle_message(message.head) {
                        return;
                    }
                    if !was_trusted && self.link_silent_ms() < MAX_TRUSTED_SILENCE_MS {
                        self.resend(&tx);
                    }
                }
                pending = self.rx.recv() => {
                    let Some(pending) = pending else { return };
                    // A request that is sent over a silent link may arrive much later, so the
                    // caller could not be told that the request had no effect.
                    let trusted = self.link_silent_ms() < MAX_TRUSTED_SILENCE_MS;
                    self.enqueue(pending, trusted.then_some(&tx));
                }
                _ = pings.tick() => {
                    if tx.send(FromPeer::EntryMessage(self.next_ping())).is_err() || self.is_silent() {
                        return;
                    }
                }
                _ = self.known_coordinator.changed() => return,
            }
        }
    }

    fn next_ping(&self) -> FromEntry {
        let promise = |(sent, received_ms)| self.promises.promise_support(sent, received_ms);
        FromEntry::Ping {
            configuration: self.configuration.version(),
            supports: self.last_pong.and_then(promise),
            stopping: self.promises.is_stopping(),
        }
    }

    /// Returns whether the link has been silent for more than four ping intervals and must be
    /// reopened.
    fn is_silent(&self) -> bool {
        self.link_silent_ms() > 4 * PING_INTERVAL.as_millis() as u64
    }

    fn link_silent_ms(&self) -> u64 {
        BootClock.now_ms().saturating_sub(self.state.borrow().last_heard_ms)
    }

    /// Handles a message of the coordinator, and returns false if the link must be closed.
    fn handle_message(&mut self, message: ToPeer) -> bool {
        let now_ms = BootClock.now_ms();
        match message {
            ToPeer::Entry(ToEntry::Pong { store_ok, configuration, sent }) => {
                self.last_pong = Some((sent, now_ms));
                self.configuration.observe(configuration);
                self.last_pong_ms.store(now_ms, Ordering::Relaxed);
                self.state.send_modify(|state| {
                    state.last_heard_ms = now_ms;
                    state.failed_connects = 0;
                    state.not_coordinating = false;
                    state.store_unreachable_since_ms = if store_ok {
                        None
                    } else {
                        state.store_unreachable_since_ms.or(Some(now_ms))
                    };
                });
            }
            ToPeer::Entry(ToEntry::Response { request_id, response }) => {
                let Some(pending) = self.pending.get_mut(&request_id) else { return true };
                if pending.is_settled_by(response)
                    && let Some(pending) = self.pending.remove(&request_id)
                {
                    // Sending fails only if the caller no longer waits.
                    let _ = pending.response.send(response);
                }
            }
            ToPeer::NotCoordinating => {
                self.state.send_modify(|state| state.not_coordinating = true);
                return false;
            }
            ToPeer::ProbeResponse { .. } | ToPeer::ReleaseResponse { .. } | ToPeer::Agent(_) => {}
        }
        true
    }

    /// Keeps a request until it is settled, and sends a first copy if `tx` is given.
    fn enqueue(&mut self, pending: PendingRequest, tx: Option<&Tx>) {
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        if let Some(tx) = tx {
            send_copy(tx, request_id, &pending);
        }
        self.pending.insert(request_id, pending);
    }

    fn resend(&mut self, tx: &Tx) {
        self.pending.retain(|_, pending| !pending.response.is_closed());
        for (request_id, pending) in &self.pending {
            send_copy(tx, *request_id, pending);
        }
    }
}

fn send_copy(tx: &Tx, request_id: u64, pending: &PendingRequest) {
    pending.sent_copies.fetch_add(1, Ordering::SeqCst);
    if pending.response.is_closed() {
        return;
    }
    // If the link is closed, the request is sent again over the next link.
    let _ = tx.send(FromPeer::EntryMessage(FromEntry::Request {
        request_id,
        request: pending.request.clone(),
    }));
}
