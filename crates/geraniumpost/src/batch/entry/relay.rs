//! Relaying callers' requests to the coordinator.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use geraniumpost_batch::{CallerRequest, CallerResponse, FromEntry, TermTime, ToEntry};
use geraniumpost_net::{LinkReceiver, LinkSender};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::super::coordination::{KnownCoordinator, LocalPromises};
use super::super::{BootClock, FromPeer, ToPeer, peer_link};
use super::ActiveConfiguration;

/// Pause between two pings. A coordinator that is gone is noticed by three missing answers.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Silence up to which requests are sent on a link, in milliseconds: one answer may be late.
const MAX_TRUSTED_SILENCE_MS: u64 = 550;
/// Pause after a link failed.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Requests that may wait for the relay; more are refused.
const REQUEST_QUEUE: usize = 1_024;

/// How the link to the coordinator is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkState {
    /// The coordinator that the rest is about.
    pub address: Option<SocketAddr>,
    /// When it answered last, or when the first link to it was tried, on the boot clock.
    pub last_heard_ms: u64,
    /// Links in a row that could not be opened.
    pub failed_connects: u32,
    /// Whether it has answered that it does not coordinate.
    pub not_coordinating: bool,
    /// Since when the coordinator has not reached the store, on the boot clock.
    pub store_unreachable_since_ms: Option<u64>,
}

/// A caller's request on its way.
#[derive(Debug)]
struct PendingRequest {
    request: CallerRequest,
    response: oneshot::Sender<CallerResponse>,
    /// Copies of the request that left.
    sent: Arc<AtomicU64>,
    /// Copies of it that the coordinator refused.
    refused_copies: u64,
}

impl PendingRequest {
    /// Returns whether an answer to one copy settles the request.
    ///
    /// A copy is sent again on the next link, and on one that was silent for a while. A refusal speaks for
    /// one copy: another may be read later, when there is room, and be accepted. Its caller would have
    /// been told that the job does not run, and it would run all the same. What is not settled in time is
    /// told as unknown.
    fn is_settled_by(&mut self, response: CallerResponse) -> bool {
        if !matches!(response, CallerResponse::Refused { .. }) {
            return true;
        }
        self.refused_copies += 1;
        self.refused_copies >= self.sent.load(Ordering::SeqCst)
    }
}

/// Handle of the relay.
#[derive(Debug)]
pub struct Relay {
    tx: mpsc::Sender<PendingRequest>,
    state: watch::Receiver<LinkState>,
    heard_ms: Arc<AtomicU64>,
}

/// Why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAnswer {
    /// It never left this process.
    NotSent,
    /// It may have reached a coordinator.
    Unknown,
}

impl Relay {
    /// Starts relaying to whoever is known to coordinate.
    ///
    /// Pings carry the version of the configuration in force, and answers the newest one that the
    /// coordinator has heard of. Pings also carry this entry's promise to support the coordinator.
    pub fn start(
        promises: Arc<LocalPromises>,
        known_coordinator: watch::Receiver<Option<KnownCoordinator>>,
        configuration: Arc<ActiveConfiguration>,
    ) -> Self {
        let (tx, rx) = mpsc::channel(REQUEST_QUEUE);
        let (state_tx, state) = watch::channel(LinkState::default());
        let heard_ms = Arc::new(AtomicU64::new(0));
        let task = RelayTask {
            promises,
            last_pong: None,
            known_coordinator,
            configuration,
            rx,
            state: state_tx,
            heard_ms: Arc::clone(&heard_ms),
            pending: HashMap::new(),
            next_ticket: 1,
        };
        tokio::spawn(task.run());
        Self { tx, state, heard_ms }
    }

    /// Returns the state of the link to the coordinator.
    pub fn state(&self) -> watch::Receiver<LinkState> {
        self.state.clone()
    }

    /// Returns for how long the coordinator has been silent, in milliseconds.
    pub fn silent_ms(&self) -> u64 {
        BootClock.now_ms().saturating_sub(self.heard_ms.load(Ordering::Relaxed))
    }

    /// Asks the coordinator; across a takeover the request is sent again to the next one, as all
    /// requests are idempotent.
    ///
    /// # Errors
    ///
    /// Tells whether the request certainly had no effect. One that could not be sent is given up
    /// after `unsent` already, one that was sent only after `all`.
    pub async fn request(
        &self,
        request: CallerRequest,
        unsent_timeout: Duration,
        timeout: Duration,
    ) -> Result<CallerResponse, NoAnswer> {
        let sent = Arc::new(AtomicU64::new(0));
        let (answer_tx, mut response) = oneshot::channel();
        let pending = PendingRequest {
            request,
            response: answer_tx,
            sent: Arc::clone(&sent),
            refused_copies: 0,
        };
        self.tx.try_send(pending).map_err(|_| NoAnswer::NotSent)?;
        let started_at = Instant::now();
        if let Ok(answered) =
            tokio::time::timeout_at(started_at + unsent_timeout.min(timeout), &mut response).await
        {
            return answered.map_err(|_| NoAnswer::Unknown);
        }
        if sent.load(Ordering::SeqCst) > 0
            && let Ok(answered) = tokio::time::timeout_at(started_at + timeout, &mut response).await
        {
            return answered.map_err(|_| NoAnswer::Unknown);
        }
        // The relay marks a request before it looks whether the asker is still there, and the asker
        // leaves before it looks for the mark. So an unmarked request has not left and never will.
        response.close();
        if let Ok(answered) = response.try_recv() {
            return Ok(answered);
        }
        Err(if sent.load(Ordering::SeqCst) == 0 { NoAnswer::NotSent } else { NoAnswer::Unknown })
    }
}

struct RelayTask {
    promises: Arc<LocalPromises>,
    /// When the coordinator sent its last pong, and when that was heard, on the boot clock.
    last_pong: Option<(TermTime, u64)>,
    known_coordinator: watch::Receiver<Option<KnownCoordinator>>,
    configuration: Arc<ActiveConfiguration>,
    rx: mpsc::Receiver<PendingRequest>,
    state: watch::Sender<LinkState>,
    heard_ms: Arc<AtomicU64>,
    pending: HashMap<u64, PendingRequest>,
    next_ticket: u64,
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

    /// Starts the account of a coordinator's silence anew when it is another one.
    fn set_coordinator(&self, address: SocketAddr) {
        self.state.send_if_modified(|state| {
            let other = state.address != Some(address);
            if other {
                let last_heard_ms = BootClock.now_ms();
                *state =
                    LinkState { address: Some(address), last_heard_ms, ..LinkState::default() };
            }
            other
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
                    let was_trusted = self.silent_ms() < MAX_TRUSTED_SILENCE_MS;
                    if !self.handle(message.head) {
                        return;
                    }
                    if !was_trusted && self.silent_ms() < MAX_TRUSTED_SILENCE_MS {
                        self.resend(&tx);
                    }
                }
                pending = self.rx.recv() => {
                    let Some(pending) = pending else { return };
                    // What is sent into a silent link may arrive much later, and its caller could
                    // not be told any more that it has not run.
                    let trusted = self.silent_ms() < MAX_TRUSTED_SILENCE_MS;
                    self.enqueue(pending, trusted.then_some(&tx));
                }
                _ = pings.tick() => {
                    if tx.send(FromPeer::EntryMessage(self.ping())).is_err() || self.is_silent() {
                        return;
                    }
                }
                _ = self.known_coordinator.changed() => return,
            }
        }
    }

    fn ping(&self) -> FromEntry {
        let promise = |(sent, heard_ms)| self.promises.support(sent, heard_ms);
        FromEntry::Ping {
            configuration: self.configuration.version(),
            supports: self.last_pong.and_then(promise),
            stopping: self.promises.is_stopping(),
        }
    }

    /// Returns whether the link has been silent for so long that a new one should be tried.
    fn is_silent(&self) -> bool {
        self.silent_ms() > 4 * PING_INTERVAL.as_millis() as u64
    }

    fn silent_ms(&self) -> u64 {
        BootClock.now_ms().saturating_sub(self.state.borrow().last_heard_ms)
    }

    fn handle(&mut self, message: ToPeer) -> bool {
        let now_ms = BootClock.now_ms();
        match message {
            ToPeer::Entry(ToEntry::Pong { store_ok, configuration, sent }) => {
                self.last_pong = Some((sent, now_ms));
                self.configuration.observe(configuration);
                self.heard_ms.store(now_ms, Ordering::Relaxed);
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
            ToPeer::Entry(ToEntry::Response { ticket, response: response }) => {
                let Some(pending) = self.pending.get_mut(&ticket) else { return true };
                if pending.is_settled_by(response)
                    && let Some(pending) = self.pending.remove(&ticket)
                {
                    // A caller that has left needs no answer.
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

    /// Keeps a request until it is answered, and sends it if there is a link.
    fn enqueue(&mut self, pending: PendingRequest, tx: Option<&Tx>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        if let Some(tx) = tx {
            send(tx, ticket, &pending);
        }
        self.pending.insert(ticket, pending);
    }

    fn resend(&mut self, tx: &Tx) {
        self.pending.retain(|_, pending| !pending.response.is_closed());
        for (ticket, pending) in &self.pending {
            send(tx, *ticket, pending);
        }
    }
}

fn send(tx: &Tx, ticket: u64, pending: &PendingRequest) {
    pending.sent.fetch_add(1, Ordering::SeqCst);
    if pending.response.is_closed() {
        return;
    }
    // A closed link is noticed by its reader, and the request is sent again on the next one.
    let _ = tx.send(FromPeer::EntryMessage(FromEntry::Request {
        ticket,
        request: pending.request.clone(),
    }));
}
