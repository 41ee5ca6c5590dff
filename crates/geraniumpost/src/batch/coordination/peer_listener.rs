//! Accepts the connections of agents and other entries.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use geraniumpost_batch::tuning::MAX_CONFIRMATION_AGE_MS;
use geraniumpost_batch::{FromEntry, ToEntry};
use geraniumpost_net::{LinkReceiver, LinkSender};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::super::entry::{ActiveConfiguration, LinkState};
use super::super::{BootClock, FromPeer, ToPeer, peer_link};
use super::KnownCoordinator;
use super::driver::{Input, Peer};
use super::local_promises::LocalPromises;
use super::term_support::TermSupport;

/// Time within which the first message of a new link must arrive.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum silence of the coordinator for which this entry still reports that the coordinator
/// responds, in milliseconds.
const MAX_COORDINATOR_SILENCE_MS: u64 = 800;

/// Destinations of messages in the current term; `None` while this entry does not coordinate.
pub type CurrentTermDestinations = Option<TermDestinations>;

/// Destinations of the messages that arrive during one term.
#[derive(Debug, Clone)]
pub struct TermDestinations {
    /// Queue of the coordinator's driver.
    pub driver_inputs: mpsc::Sender<Input>,
    /// Record of the other entries' promises to support this term.
    pub support: Arc<TermSupport>,
}

/// A link that a peer has opened to this entry.
struct Link {
    peer: Peer,
    /// Random number that identifies the process of an entry; 0 for agents.
    incarnation: u64,
    tx: LinkSender<ToPeer>,
}

/// Serves the links that other processes open to this entry.
#[derive(Debug)]
pub struct PeerListener {
    /// Destinations of messages in the current term, set when a term begins and ends.
    pub destinations: watch::Receiver<CurrentTermDestinations>,
    /// Time at which the store last confirmed this entry's term, on the monotonic clock.
    pub confirmed_ms: Arc<AtomicU64>,
    /// State of this entry's own link to the coordinator.
    pub link: watch::Receiver<LinkState>,
    /// Active configuration of this entry; pings and pongs carry its version.
    pub configuration: Arc<ActiveConfiguration>,
    /// The current coordinator as far as this entry knows, reported in responses to probes.
    pub known_coordinator: watch::Receiver<Option<KnownCoordinator>>,
    /// This entry's promises to coordinators; release requests withdraw the entry's support.
    pub promises: Arc<LocalPromises>,
}

impl PeerListener {
    /// Accepts links until the process exits.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut next_link_id = 1;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let link = next_link_id;
                    next_link_id += 1;
                    match peer_link::open::<ToPeer, FromPeer>(stream) {
                        Ok((tx, rx)) => {
                            tokio::spawn(Arc::clone(&self).serve_link(link, tx, rx));
                        }
                        Err(error) => spdlog::debug!("event=link_failed why=\"{error}\""),
                    }
                }
                Err(error) => {
                    spdlog::warn!("event=accept_failed why=\"{error}\"");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    async fn serve_link(
        self: Arc<Self>,
        link: u64,
        tx: LinkSender<ToPeer>,
        mut rx: LinkReceiver<FromPeer>,
    ) {
        let Ok(Some(hello)) = tokio::time::timeout(HELLO_TIMEOUT, rx.next()).await else { return };
        let term = self.destinations.borrow().clone();
        let response = match hello.head {
            FromPeer::Probe => Some(self.probe_response()),
            FromPeer::Release { term } => Some(self.release_response(term)),
            _ => term.is_none().then_some(ToPeer::NotCoordinating),
        };
        if let Some(response) = response {
            let _ = tx.send(response);
            // The peer closes the link after it has read the response. If this side closed the
            // link, the response could be lost.
            let _ = tokio::time::timeout(HELLO_TIMEOUT, rx.next()).await;
            return;
        }
        let Some(term) = term else { return };
        let (peer, incarnation) = match hello.head {
            FromPeer::EntryHello { node, incarnation } => (Peer::Entry { node, link }, incarnation),
            FromPeer::AgentHello { node } => (Peer::Agent { node, link }, 0),
            _ => return,
        };
        if term.driver_inputs.send(Input::LinkOpened(peer.clone(), tx.clone())).await.is_err() {
            return;
        }
        let link = Link { peer, incarnation, tx };
        self.forward_messages(&link, &term, &mut rx).await;
        let _ = term.driver_inputs.send(Input::LinkClosed(link.peer)).await;
    }

    fn probe_response(&self) -> ToPeer {
        let coordinator = self.known_coordinator.borrow().map(|known| (known.address, known.fence));
        ToPeer::ProbeResponse { coordinator_responds: self.coordinator_responds(), coordinator }
    }

    fn release_response(&self, term: u64) -> ToPeer {
        let remaining_ms = self.promises.release(term);
        spdlog::info!("event=support_released before_term={term} remaining_ms={remaining_ms}");
        ToPeer::ReleaseResponse {
            node: self.promises.node().clone(),
            incarnation: self.promises.incarnation(),
            remaining_ms,
        }
    }

    /// Forwards messages to the driver until the link or the term ends, and responds to pings.
    async fn forward_messages(
        &self,
        link: &Link,
        term: &TermDestinations,
        rx: &mut LinkReceiver<FromPeer>,
    ) {
        let Link { peer, incarnation, tx } = link;
        let TermDestinations { driver_inputs, support } = term;
        loop {
            let message = tokio::select! {
                message = rx.next() => message,
                () = driver_inputs.closed() => None,
            };
            let Some(message) = message else { return };
            let input = match (message.head, peer) {
                (
                    FromPeer::EntryMessage(FromEntry::Ping { configuration, supports, stopping }),
                    _,
                ) => {
                    self.configuration.observe(configuration);
                    if let (Some(sent), Peer::Entry { node, .. }) = (supports, peer) {
                        support.record_promise(node, *incarnation, sent, stopping);
                    }
                    let store_ok = self.store_silent_ms() < MAX_CONFIRMATION_AGE_MS;
                    let configuration = self.configuration.newest_version();
                    let pong = ToEntry::Pong { store_ok, configuration, sent: support.pong_time() };
                    if tx.send(ToPeer::Entry(pong)).is_err() {
                        return;
                    }
                    continue;
                }
                (
                    FromPeer::EntryMessage(FromEntry::Request { request_id, request }),
                    Peer::Entry { link, .. },
                ) => Input::Request { link: *link, request_id, request },
                (FromPeer::AgentMessage(message), Peer::Agent { node, link }) => {
                    Input::AgentMessage { node: node.clone(), link: *link, message }
                }
                _ => return,
            };
            if driver_inputs.send(input).await.is_err() {
                return;
            }
        }
    }

    fn store_silent_ms(&self) -> u64 {
        BootClock.now_ms().saturating_sub(self.confirmed_ms.load(Ordering::Relaxed))
    }

    /// Returns whether the coordinator responds to this entry. If this entry coordinates itself,
    /// returns whether the store has confirmed its term recently.
    fn coordinator_responds(&self) -> bool {
        if self.destinations.borrow().is_some() {
            return self.store_silent_ms() < MAX_CONFIRMATION_AGE_MS;
        }
        let link = *self.link.borrow();
        let silent_ms = BootClock.now_ms().saturating_sub(link.last_heard_ms);
        link.failed_connects == 0
            && !link.not_coordinating
            && silent_ms < MAX_COORDINATOR_SILENCE_MS
    }
}
