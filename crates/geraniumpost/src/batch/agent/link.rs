//! The link to the coordinator.

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

/// Pause between two beats: a lease of several seconds survives the loss of many.
const BEAT: Duration = Duration::from_millis(500);
/// Silence after which the link is opened anew, in milliseconds: three missing answers.
const SILENCE_MS: u64 = 1_700;
/// Pause after a link failed.
const PAUSE: Duration = Duration::from_millis(80);
/// How long ago the minion must have answered for its lease to be extended, in milliseconds. Calls
/// to a minion that does not answer may still be carried out, and each could extend it.
const ANSWERED_MS: u64 = 1_600;

/// Keeps a link to whoever is known to coordinate.
pub async fn keep(state: Arc<State>, mut known: watch::Receiver<Option<KnownCoordinator>>) {
    loop {
        let found = *known.borrow_and_update();
        let Some(found) = found else {
            if known.changed().await.is_err() {
                return;
            }
            continue;
        };
        match peer_link::dial::<FromPeer, ToPeer>(found.address).await {
            Ok((tx, rx)) => {
                converse(&state, tx, rx, &mut known).await;
                state.set_link(None);
            }
            Err(error) => spdlog::debug!("event=link_failed to={} why=\"{error}\"", found.address),
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn converse(
    state: &Arc<State>,
    tx: LinkSender<FromPeer>,
    mut rx: LinkReceiver<ToPeer>,
    known: &mut watch::Receiver<Option<KnownCoordinator>>,
) {
    if tx.send(FromPeer::AgentHello { node: state.node.clone() }).is_err() {
        return;
    }
    state.heard_ms.store(BootClock.now_ms(), Ordering::Relaxed);
    let mut linked = false;
    let mut beats = tokio::time::interval(BEAT);
    loop {
        tokio::select! {
            message = rx.next() => {
                let Some(message) = message else { return };
                state.heard_ms.store(BootClock.now_ms(), Ordering::Relaxed);
                let ToPeer::Agent(message) = message.head else { return };
                if !linked {
                    linked = true;
                    spdlog::info!("event=dependency_regained dependency=coordinator");
                    state.set_link(Some(tx.clone()));
                }
                take(state, message);
            }
            _ = beats.tick() => {
                if state.silent_ms() > SILENCE_MS {
                    spdlog::warn!("event=dependency_lost dependency=coordinator why=silent");
                    return;
                }
                if !beat(state, &tx) {
                    return;
                }
            }
            () = state.beat_now.notified() => if !beat(state, &tx) {
                return;
            },
            changed = known.changed() => {
                if changed.is_err() || known.borrow_and_update().is_some() {
                    return;
                }
            }
        }
    }
}

/// Asks for the lease to be extended; false if the link is gone.
fn beat(state: &State, tx: &LinkSender<FromPeer>) -> bool {
    let minion_ok = state.answers_within(ANSWERED_MS);
    let beat = FromAgent::Heartbeat { sent_at_ms: BootClock.now_ms(), minion_ok };
    tx.send(FromPeer::AgentMessage(beat)).is_ok()
}

fn take(state: &Arc<State>, message: ToAgent) {
    match message {
        ToAgent::Lease { sent_at_ms, lease_ms, fence, store_ok } => {
            state.coordinator_misses_store.store(!store_ok, Ordering::Relaxed);
            state.lease(sent_at_ms, lease_ms, fence);
        }
        ToAgent::Order(order) => {
            tokio::spawn(orders::carry_out(Arc::clone(state), order));
        }
        ToAgent::Acknowledge { minion, up_to } => state.acknowledge(&minion, up_to),
        ToAgent::DepartureRecorded { minion } => state.departure_settled(&minion),
    }
}
