//! The port on which other processes of the system reach an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use geraniumpost_batch::tuning::STORE_SILENCE_MS;
use geraniumpost_batch::{FromAgent, FromEntry, ToEntry};
use geraniumpost_net::{LinkReceiver, LinkSender};
use geraniumpost_schema::Name;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::super::entry::{InForce, LinkState};
use super::super::{BootClock, FromPeer, ToPeer, peer_link};
use super::Known;
use super::driver::{Input, Peer};

/// How long a new link may stay silent.
const FIRST_MESSAGE: Duration = Duration::from_secs(2);
/// How long the coordinator may be silent and still count as answering, in milliseconds.
const ANSWERS_MS: u64 = 800;
/// Sender of the messages to the coordinator, while this entry coordinates.
pub type Inputs = Option<mpsc::Sender<Input>>;

/// What the doorway's links share.
#[derive(Debug)]
pub struct Doorway {
    /// Messages go here while this entry coordinates.
    pub inputs: watch::Receiver<Inputs>,
    /// When the store last confirmed this entry as the coordinator, on the boot clock.
    pub confirmed_ms: Arc<AtomicU64>,
    /// How this entry's own link to the coordinator is.
    pub link: watch::Receiver<LinkState>,
    /// The configuration in force at this entry.
    pub in_force: Arc<InForce>,
    /// Who coordinates.
    pub known: watch::Receiver<Option<Known>>,
}

impl Doorway {
    /// Accepts links for as long as the process runs.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut next_link = 1;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let link = next_link;
                    next_link += 1;
                    match peer_link::open::<ToPeer, FromPeer>(stream) {
                        Ok((tx, rx)) => {
                            tokio::spawn(Arc::clone(&self).welcome(link, tx, rx));
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

    async fn welcome(
        self: Arc<Self>,
        link: u64,
        tx: LinkSender<ToPeer>,
        mut rx: LinkReceiver<FromPeer>,
    ) {
        let Ok(Some(first)) = tokio::time::timeout(FIRST_MESSAGE, rx.next()).await else { return };
        if first.head == FromPeer::Probe {
            let coordinator_answers = self.coordinator_answers();
            let coordinator = self.known.borrow().map(|known| (known.address, known.fence));
            let _ = tx.send(ToPeer::Probed { coordinator_answers, coordinator });
            // The link must not close before the answer has left.
            let _ = tokio::time::timeout(FIRST_MESSAGE, rx.next()).await;
            return;
        }
        let Some(inputs) = self.inputs.borrow().clone() else {
            let _ = tx.send(ToPeer::NotCoordinating);
            let _ = tokio::time::timeout(FIRST_MESSAGE, rx.next()).await;
            return;
        };
        let peer = match first.head {
            FromPeer::Entry { node } => Peer::Entry { node, link },
            FromPeer::Agent { node } => Peer::Agent { node, link },
            _ => return,
        };
        if inputs.send(Input::Opened(peer.clone(), tx.clone())).await.is_err() {
            return;
        }
        self.pass_on(&peer, &inputs, &tx, &mut rx).await;
        let _ = inputs.send(Input::Closed(peer)).await;
    }

    /// Passes messages on until the link or the coordinator's term ends.
    async fn pass_on(
        &self,
        peer: &Peer,
        inputs: &mpsc::Sender<Input>,
        tx: &LinkSender<ToPeer>,
        rx: &mut LinkReceiver<FromPeer>,
    ) {
        loop {
            let message = tokio::select! {
                message = rx.next() => message,
                () = inputs.closed() => None,
            };
            let Some(message) = message else { return };
            let input = match (message.head, peer) {
                (FromPeer::EntrySays(FromEntry::Ping { configuration }), _) => {
                    self.in_force.heard(configuration);
                    let store_ok = self.store_silent_ms() < STORE_SILENCE_MS;
                    let pong = ToEntry::Pong { store_ok, configuration: self.in_force.newest() };
                    if tx.send(ToPeer::Entry(pong)).is_err() {
                        return;
                    }
                    continue;
                }
                (FromPeer::EntrySays(FromEntry::Ask { ticket, ask }), Peer::Entry { link, .. }) => {
                    Input::Ask { link: *link, ticket, ask }
                }
                (FromPeer::AgentSays(said), Peer::Agent { node, .. }) => agent_said(node, said),
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
    fn coordinator_answers(&self) -> bool {
        if self.inputs.borrow().is_some() {
            return self.store_silent_ms() < STORE_SILENCE_MS;
        }
        let link = *self.link.borrow();
        let silent_ms = BootClock.now_ms().saturating_sub(link.heard_ms);
        link.refused == 0 && !link.denied && silent_ms < ANSWERS_MS
    }
}

fn agent_said(node: &Name, said: FromAgent) -> Input {
    Input::Agent(node.clone(), said)
}
