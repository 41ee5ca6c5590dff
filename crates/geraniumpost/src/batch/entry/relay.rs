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
const PING: Duration = Duration::from_millis(250);
/// Silence up to which requests are sent on a link, in milliseconds: one answer may be late.
const TRUSTED_MS: u64 = 550;
/// Pause after a link failed.
const PAUSE: Duration = Duration::from_millis(60);
/// Requests that may wait for the relay; more are refused.
const QUEUE: usize = 1_024;

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
struct Waiting {
    ask: CallerRequest,
    answer: oneshot::Sender<CallerResponse>,
    /// Copies of the request that left.
    sent: Arc<AtomicU64>,
    /// Copies of it that the coordinator refused.
    refused: u64,
}

impl Waiting {
    /// Returns whether an answer to one copy settles the request.
    ///
    /// A copy is sent again on the next link, and on one that was silent for a while. A refusal speaks for
    /// one copy: another may be read later, when there is room, and be accepted. Its caller would have
    /// been told that the job does not run, and it would run all the same. What is not settled in time is
    /// told as unknown.
    fn is_settled_by(&mut self, answer: CallerResponse) -> bool {
        if !matches!(answer, CallerResponse::Refused { .. }) {
            return true;
        }
        self.refused += 1;
        self.refused >= self.sent.load(Ordering::SeqCst)
    }
}

/// Handle of the relay.
#[derive(Debug)]
pub struct Relay {
    tx: mpsc::Sender<Waiting>,
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
        known: watch::Receiver<Option<KnownCoordinator>>,
        in_force: Arc<ActiveConfiguration>,
    ) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE);
        let (state_tx, state) = watch::channel(LinkState::default());
        let heard_ms = Arc::new(AtomicU64::new(0));
        let task = Task {
            promises,
            heard: None,
            known,
            in_force,
            rx,
            state: state_tx,
            heard_ms: Arc::clone(&heard_ms),
            waiting: HashMap::new(),
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
    pub async fn ask(
        &self,
        ask: CallerRequest,
        unsent: Duration,
        all: Duration,
    ) -> Result<CallerResponse, NoAnswer> {
        let sent = Arc::new(AtomicU64::new(0));
        let (answer_tx, mut answer) = oneshot::channel();
        let waiting = Waiting { ask, answer: answer_tx, sent: Arc::clone(&sent), refused: 0 };
        self.tx.try_send(waiting).map_err(|_| NoAnswer::NotSent)?;
        let began = Instant::now();
        if let Ok(answered) = tokio::time::timeout_at(began + unsent.min(all), &mut answer).await {
            return answered.map_err(|_| NoAnswer::Unknown);
        }
        if sent.load(Ordering::SeqCst) > 0
            && let Ok(answered) = tokio::time::timeout_at(began + all, &mut answer).await
        {
            return answered.map_err(|_| NoAnswer::Unknown);
        }
        // The relay marks a request before it looks whether the asker is still there, and the asker
        // leaves before it looks for the mark. So an unmarked request has not left and never will.
        answer.close();
        if let Ok(answered) = answer.try_recv() {
            return Ok(answered);
        }
        Err(if sent.load(Ordering::SeqCst) == 0 { NoAnswer::NotSent } else { NoAnswer::Unknown })
    }
}

struct Task {
    promises: Arc<LocalPromises>,
    /// When the coordinator sent its last pong, and when that was heard, on the boot clock.
    heard: Option<(TermTime, u64)>,
    known: watch::Receiver<Option<KnownCoordinator>>,
    in_force: Arc<ActiveConfiguration>,
    rx: mpsc::Receiver<Waiting>,
    state: watch::Sender<LinkState>,
    heard_ms: Arc<AtomicU64>,
    waiting: HashMap<u64, Waiting>,
    next_ticket: u64,
}

type Tx = LinkSender<FromPeer>;
type Rx = LinkReceiver<ToPeer>;

impl Task {
    async fn run(mut self) {
        loop {
            let known = *self.known.borrow_and_update();
            let Some(known) = known else {
                tokio::select! {
                    changed = self.known.changed() => if changed.is_err() { return },
                    waiting = self.rx.recv() => match waiting {
                        Some(waiting) => self.keep(waiting, None),
                        None => return,
                    },
                }
                continue;
            };
            self.aim(known.address);
            match peer_link::dial::<FromPeer, ToPeer>(known.address).await {
                Ok((tx, rx)) => self.relay(tx, rx).await,
                Err(error) => {
                    spdlog::debug!("event=link_failed to={} why=\"{error}\"", known.address);
                    self.state.send_modify(|state| state.failed_connects += 1);
                }
            }
            self.waiting.retain(|_, waiting| !waiting.answer.is_closed());
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Starts the account of a coordinator's silence anew when it is another one.
    fn aim(&self, address: SocketAddr) {
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

    async fn relay(&mut self, tx: Tx, mut rx: Rx) {
        let (node, incarnation) = (self.promises.node().clone(), self.promises.incarnation());
        if tx.send(FromPeer::EntryHello { node, incarnation }).is_err() {
            return;
        }
        self.send_again(&tx);
        let mut pings = tokio::time::interval(PING);
        loop {
            tokio::select! {
                message = rx.next() => {
                    let Some(message) = message else { return };
                    let was_trusted = self.silent_ms() < TRUSTED_MS;
                    if !self.take(message.head) {
                        return;
                    }
                    if !was_trusted && self.silent_ms() < TRUSTED_MS {
                        self.send_again(&tx);
                    }
                }
                waiting = self.rx.recv() => {
                    let Some(waiting) = waiting else { return };
                    // What is sent into a silent link may arrive much later, and its caller could
                    // not be told any more that it has not run.
                    let trusted = self.silent_ms() < TRUSTED_MS;
                    self.keep(waiting, trusted.then_some(&tx));
                }
                _ = pings.tick() => {
                    if tx.send(FromPeer::EntryMessage(self.ping())).is_err() || self.is_silent() {
                        return;
                    }
                }
                _ = self.known.changed() => return,
            }
        }
    }

    fn ping(&self) -> FromEntry {
        let promise = |(sent, heard_ms)| self.promises.support(sent, heard_ms);
        FromEntry::Ping {
            configuration: self.in_force.version(),
            supports: self.heard.and_then(promise),
            stopping: self.promises.is_stopping(),
        }
    }

    /// Returns whether the link has been silent for so long that a new one should be tried.
    fn is_silent(&self) -> bool {
        self.silent_ms() > 4 * PING.as_millis() as u64
    }

    fn silent_ms(&self) -> u64 {
        BootClock.now_ms().saturating_sub(self.state.borrow().last_heard_ms)
    }

    fn take(&mut self, message: ToPeer) -> bool {
        let now_ms = BootClock.now_ms();
        match message {
            ToPeer::Entry(ToEntry::Pong { store_ok, configuration, sent }) => {
                self.heard = Some((sent, now_ms));
                self.in_force.heard(configuration);
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
            ToPeer::Entry(ToEntry::Response { ticket, response: answer }) => {
                let Some(waiting) = self.waiting.get_mut(&ticket) else { return true };
                if waiting.is_settled_by(answer)
                    && let Some(waiting) = self.waiting.remove(&ticket)
                {
                    // A caller that has left needs no answer.
                    let _ = waiting.answer.send(answer);
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
    fn keep(&mut self, waiting: Waiting, tx: Option<&Tx>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        if let Some(tx) = tx {
            send(tx, ticket, &waiting);
        }
        self.waiting.insert(ticket, waiting);
    }

    fn send_again(&mut self, tx: &Tx) {
        self.waiting.retain(|_, waiting| !waiting.answer.is_closed());
        for (ticket, waiting) in &self.waiting {
            send(tx, *ticket, waiting);
        }
    }
}

fn send(tx: &Tx, ticket: u64, waiting: &Waiting) {
    waiting.sent.fetch_add(1, Ordering::SeqCst);
    if waiting.answer.is_closed() {
        return;
    }
    // A closed link is noticed by its reader, and the request is sent again on the next one.
    let _ = tx
        .send(FromPeer::EntryMessage(FromEntry::Request { ticket, request: waiting.ask.clone() }));
}
