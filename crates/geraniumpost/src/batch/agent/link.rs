//! The agent's link to the coordinator.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use geraniumpost_batch::{FromAgent, ToAgent};
use geraniumpost_net::{LinkReceiver, LinkSender};
use tokio::sync::watch;

use super::super::coordination::KnownCoordinator;
use super::super::{BootClock, FromPeer, ToPeer, peer_link};
use super::orders;
use super::state::State;

/// Interval of heartbeats to the coordinator. A lease of several seconds survives the loss of many
/// heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Silence of the coordinator after which the link is reopened, in milliseconds: three missing
/// responses.
const LINK_SILENCE_TIMEOUT_MS: u64 = 1_700;
/// Pause after a link has failed.
const RETRY_PAUSE: Duration = Duration::from_millis(80);
/// Maximum age of the minion's last response for which an extension of the lease is requested, in
/// milliseconds. Calls may reach a minion whose responses are lost, and each call could extend the
/// minion's lease.
const MAX_MINION_SILENCE_MS: u64 = 1_600;

/// Keeps a link to the known coordinator open, and reopens it when the coordinator changes.
pub async fn maintain_link(
    state: Arc<State>,
    mut known_coordinator: watch::Receiver<Option<KnownCoordinator>>,
) {
    loop {
        let coordinator = *known_coordinator.borrow_and_update();
        let Some(coordinator) = coordinator else {
            if known_coordinator.changed().await.is_err() {
                return;
            }
            continue;
        };
        match peer_link::dial::<FromPeer, ToPeer>(coordinator.address).await {
            Ok((tx, rx)) => {
                serve_link(&state, tx, rx, &mut known_coordinator).await;
                state.set_link(None);
            }
            Err(error) => {
                spdlog::debug!("event=link_failed to={} why=\"{error}\"", coordinator.address);
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn serve_link(
    state: &Arc<State>,
    tx: LinkSender<FromPeer>,
    mut rx: LinkReceiver<ToPeer>,
    known_coordinator: &mut watch::Receiver<Option<KnownCoordinator>>,
) {
    if tx.send(FromPeer::AgentHello { node: state.node.clone() }).is_err() {
        return;
    }
    state.coordinator_heard_ms.store(BootClock.now_ms(), Ordering::Relaxed);
    let mut linked = false;
    let mut heartbeats = tokio::time::interval(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            message = rx.next() => {
                let Some(message) = message else { return };
                state.coordinator_heard_ms.store(BootClock.now_ms(), Ordering::Relaxed);
                let ToPeer::Agent(message) = message.head else { return };
                if !linked {
                    linked = true;
                    spdlog::info!("event=dependency_regained dependency=coordinator");
                    state.set_link(Some(tx.clone()));
                }
                handle(state, message);
            }
            _ = heartbeats.tick() => {
                if state.coordinator_silence_ms() > LINK_SILENCE_TIMEOUT_MS {
                    spdlog::warn!("event=dependency_lost dependency=coordinator why=silent");
                    return;
                }
                if !send_heartbeat(state, &tx) {
                    return;
                }
            }
            () = state.heartbeat_now.notified() => if !send_heartbeat(state, &tx) {
                return;
            },
            changed = known_coordinator.changed() => {
                if changed.is_err() || known_coordinator.borrow_and_update().is_some() {
                    return;
                }
            }
        }
    }
}

/// Sends a heartbeat. The heartbeat requests an extension of the lease if the minion has responded
/// recently. Returns false if the link has closed.
fn send_heartbeat(state: &State, tx: &LinkSender<FromPeer>) -> bool {
    let minion_ok = state.has_responded_within(MAX_MINION_SILENCE_MS);
    let heartbeat = FromAgent::Heartbeat { sent_at_ms: BootClock.now_ms(), minion_ok };
    tx.send(FromPeer::AgentMessage(heartbeat)).is_ok()
}

fn handle(state: &Arc<State>, message: ToAgent) {
    match message {
        ToAgent::Lease { sent_at_ms, lease_ms, fence, store_ok } => {
            state.coordinator_may_be_replaced.store(!store_ok, Ordering::Relaxed);
            state.extend_lease(sent_at_ms, lease_ms, fence);
        }
        ToAgent::Order(order) => {
            tokio::spawn(orders::execute_order(Arc::clone(state), order));
        }
        ToAgent::Acknowledge { minion, up_to } => state.record_acknowledged(&minion, up_to),
        ToAgent::DepartureRecorded { minion } => state.handle_departure_recorded(&minion),
    }
}
