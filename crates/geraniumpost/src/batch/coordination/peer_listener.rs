//! The port on which other processes of the system reach an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use geraniumpost_batch::tuning::STORE_UNREACHABLE_MS;
use geraniumpost_batch::{FromAgent, FromEntry, ToEntry};
use geraniumpost_net::{LinkReceiver, LinkSender};
use geraniumpost_schema::Name;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::super::entry::{ActiveConfiguration, LinkState};
use super::super::{BootClock, FromPeer, ToPeer, peer_link};
use super::KnownCoordinator;
use super::driver::{Input, Peer};
use super::local_promises::LocalPromises;
use super::term_support::TermSupport;

/// How long a new link may stay silent.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the coordinator may be silent and still count as answering, in milliseconds.
const MAX_COORDINATOR_SILENCE_MS: u64 = 800;
/// What links need while this entry coordinates.
pub type Inputs = Option<TermInputs>;

/// Where the links of one term deliver what they hear.
#[derive(Debug, Clone)]
pub struct TermInputs {
    /// Messages to the coordinator.
    pub inputs: mpsc::Sender<Input>,
    /// The promises of other entries.
    pub support: Arc<TermSupport>,
}

/// An open link, and who is at its other end.
struct Link {
    peer: Peer,
    /// Random number of the other process, if it is an entry.
    incarnation: u64,
    tx: LinkSender<ToPeer>,
}

/// What the doorway's links share.
#[derive(Debug)]
pub struct PeerListener {
    /// Messages go here while this entry coordinates.
    pub inputs: watch::Receiver<Inputs>,
    /// When the store last confirmed this entry as the coordinator, on the boot clock.
    pub confirmed_ms: Arc<AtomicU64>,
    /// How this entry's own link to the coordinator is.
    pub link: watch::Receiver<LinkState>,
    /// The configuration in force at this entry.
    pub configuration: Arc<ActiveConfiguration>,
    /// Who coordinates.
    pub known_coordinator: watch::Receiver<Option<KnownCoordinator>>,
    /// What this entry has promised.
    pub promises: Arc<LocalPromises>,
}

impl PeerListener {
    /// Accepts links for as long as the process runs.
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
        let term = self.inputs.borrow().clone();
        let response = match hello.head {
            FromPeer::Probe => Some(self.probe_response()),
            FromPeer::Release { term } => Some(self.release_response(term)),
            _ => term.is_none().then_some(ToPeer::NotCoordinating),
        };
        if let Some(response) = response {
            let _ = tx.send(response);
            // The link must not close before the answer has left.
            let _ = tokio::time::timeout(HELLO_TIMEOUT, rx.next()).await;
            return;
        }
        let Some(term) = term else { return };
        let (peer, incarnation) = match hello.head {
            FromPeer::EntryHello { node, incarnation } => (Peer::Entry { node, link }, incarnation),
            FromPeer::AgentHello { node } => (Peer::Agent { node, link }, 0),
            _ => return,
        };
        if term.inputs.send(Input::LinkOpened(peer.clone(), tx.clone())).await.is_err() {
            return;
        }
        let link = Link { peer, incarnation, tx };
        self.forward_messages(&link, &term, &mut rx).await;
        let _ = term.inputs.send(Input::LinkClosed(link.peer)).await;
    }

    fn probe_response(&self) -> ToPeer {
        let coordinator = self
            .known_coordinator
            .borrow()
            .map(|known_coordinator| (known_coordinator.address, known_coordinator.fence));
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

    /// Passes messages on until the link or the coordinator's term ends.
    async fn forward_messages(
        &self,
        link: &Link,
        term: &TermInputs,
        rx: &mut LinkReceiver<FromPeer>,
    ) {
        let Link { peer, incarnation, tx } = link;
        let TermInputs { inputs, support } = term;
        loop {
            let message = tokio::select! {
                message = rx.next() => message,
                () = inputs.closed() => None,
            };
            let Some(message) = message else { return };
            let input = match (message.head, peer) {
                (
                    FromPeer::EntryMessage(FromEntry::Ping { configuration, supports, stopping }),
                    _,
                ) => {
                    self.configuration.heard(configuration);
                    if let (Some(sent), Peer::Entry { node, .. }) = (supports, peer) {
                        support.record_promise(node, *incarnation, sent);
                        if stopping {
                            support.mark_stopping(node);
                        }
                    }
                    let store_ok = self.store_silent_ms() < STORE_UNREACHABLE_MS;
                    let configuration = self.configuration.newest();
                    let pong = ToEntry::Pong { store_ok, configuration, sent: support.pong_time() };
                    if tx.send(ToPeer::Entry(pong)).is_err() {
                        return;
                    }
                    continue;
                }
                (
                    FromPeer::EntryMessage(FromEntry::Request { ticket, request: ask }),
                    Peer::Entry { link, .. },
                ) => Input::Request { link: *link, ticket, ask },
                (FromPeer::AgentMessage(message), Peer::Agent { node, .. }) => {
                    agent_input(node, message)
                }
                _ => return,
            };
            if inputs.send(input).await.is_err() {
                return;
            }
        }
    }

    fn store_silent_ms(&self) -> u64 {
        BootClock.now_ms().saturating_sub(self.confirmed_ms.load(Ordering::Relaxed))
    }

    /// Returns whether the coordinator answers this entry, or is this entry.
    fn coordinator_responds(&self) -> bool {
        if self.inputs.borrow().is_some() {
            return self.store_silent_ms() < STORE_UNREACHABLE_MS;
        }
        let link = *self.link.borrow();
        let silent_ms = BootClock.now_ms().saturating_sub(link.last_heard_ms);
        link.failed_connects == 0
            && !link.not_coordinating
            && silent_ms < MAX_COORDINATOR_SILENCE_MS
    }
}

fn agent_input(node: &Name, message: FromAgent) -> Input {
    Input::AgentMessage(node.clone(), message)
}
