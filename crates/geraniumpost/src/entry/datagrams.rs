use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_core::requests::MembershipChange;
use geraniumpost_schema::{Adopt, Datagram, EntryBeat, Heartbeat, HeartbeatAck, Name, ToAgent};
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::link_maintenance::{LinkTarget, maintain_link};
use super::pause_detector::PauseDetector;
use super::{EntryContext, gauges};
use crate::datagram_socket::DatagramSocket;
use crate::drop_reason::reason;

/// Interval at which agents without heartbeats are timed out.
const TICK: Duration = Duration::from_millis(100);

/// Asynchronous tasks that maintain the link to each agent. Each ends when its sender is dropped.
#[derive(Debug, Default)]
struct LinkTasks(HashMap<Name, watch::Sender<LinkTarget>>);

/// Receives heartbeats of agents and entries, and times out agents, until the process ends.
pub async fn receive(cx: Arc<EntryContext>, socket: Arc<DatagramSocket>) {
    let mut link_tasks = LinkTasks::default();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pauses = PauseDetector::new(cx.clock.now());
    loop {
        let (from, received) = tokio::select! {
            received = socket.receive() => received,
            _ = ticks.tick() => {
                if pauses.tick(cx.clock.now(), cx.settings.heartbeat_ms) {
                    tick(&cx, &mut link_tasks);
                }
                continue;
            }
        };
        match received {
            Ok(Datagram::Heartbeat(beat)) => {
                link_tasks.update(&cx, &beat);
                on_heartbeat(&cx, &socket, from, &beat).await;
            }
            Ok(Datagram::EntryBeat(beat)) => on_entry_beat(&cx, beat),
            Ok(Datagram::HeartbeatAck(_)) => cx.metrics.dropped("datagram", "unexpected", 1),
            Err(error) => {
                spdlog::debug!("dropped a datagram from {from}: {error}");
                cx.metrics.dropped("datagram", reason(&error), 1);
            }
        }
    }
}

/// Sends heartbeats to the other entries at the interval of the settings until the process ends.
pub async fn send_periodically(cx: Arc<EntryContext>, socket: Arc<DatagramSocket>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(cx.settings.heartbeat_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for sequence in 1.. {
        ticks.tick().await;
        send_once(&cx, &socket, sequence).await;
    }
}

async fn send_once(cx: &EntryContext, socket: &DatagramSocket, sequence: u64) {
    let (beat, mut addresses) = {
        let mut peers = cx.peers();
        let beat = EntryBeat {
            peer: peers.own().clone(),
            incarnation: cx.me.incarnation,
            sequence,
            config_revision: cx.config.active().load().revision(),
            term: cx.term(),
            store_up: true,
            draining: cx.is_draining(),
            peers: peers.list_for_beat(sequence),
        };
        (beat, peers.take_addresses())
    };
    addresses.extend(cx.settings.peers.iter().copied());
    addresses.sort_unstable();
    addresses.dedup();
    let datagram = Datagram::EntryBeat(beat);
    for address in addresses.into_iter().filter(|address| *address != cx.settings.datagrams) {
        socket.send(&datagram, address).await;
    }
}

impl LinkTasks {
    /// Starts the task for a new agent, or updates the target if the agent's address or incarnation
    /// has changed.
    fn update(&mut self, cx: &Arc<EntryContext>, beat: &Heartbeat) {
        let Ok(address) = beat.address.parse() else { return };
        let target =
            LinkTarget { name: beat.agent.clone(), address, incarnation: beat.incarnation };
        let Some(target_tx) = self.0.get(&beat.agent) else {
            let (tx, rx) = watch::channel(target);
            tokio::spawn(maintain_link(Arc::clone(cx), rx));
            self.0.insert(beat.agent.clone(), tx);
            return;
        };
        target_tx.send_if_modified(|current| {
            let changed = *current != target;
            *current = target;
            changed
        });
    }
}

async fn on_heartbeat(
    cx: &Arc<EntryContext>,
    socket: &DatagramSocket,
    from: SocketAddr,
    beat: &Heartbeat,
) {
    cx.metrics.heartbeat("agent");
    let now = cx.clock.now();
    let change = cx.change_membership(|membership| {
        let change = membership.record_heartbeat(beat, now);
        (change, change.needs_snapshot())
    });
    if change == MembershipChange::Stale {
        return;
    }
    if change.needs_snapshot() {
        spdlog::info!("agent {} {change}", beat.agent);
    }
    synchronize_config(cx, beat);
    let ack = acknowledge(cx, beat);
    socket.send(&Datagram::HeartbeatAck(ack), from).await;
}

/// Fetches the agent's configuration if it is newer than that of this entry, or sends this entry's
/// configuration to the agent if that is newer.
fn synchronize_config(cx: &EntryContext, beat: &Heartbeat) {
    let in_force = cx.config.active().load();
    if beat.config_revision > in_force.revision() {
        let requests = cx.config.offered(&beat.agent, beat.config_revision);
        super::links::fetch(cx, &requests);
    } else if beat.config_revision < in_force.revision()
        && let Some(link) = cx.links.to_incarnation(&beat.agent, beat.incarnation)
    {
        let head = ToAgent::Adopt(Adopt { revision: in_force.revision() });
        link.send_with_body(head, in_force.json().clone());
    }
}

fn acknowledge(cx: &EntryContext, beat: &Heartbeat) -> HeartbeatAck {
    let (term, hold_ms) = cx.grant_agent_lease(beat);
    let peers = cx.peers();
    let digest = peers.digest();
    let known = beat.entries_digest == digest;
    HeartbeatAck {
        entry: cx.me.name.clone(),
        sequence: beat.sequence,
        incarnation: beat.incarnation,
        config_revision: cx.config.active().load().revision(),
        term,
        hold_ms,
        entries_digest: digest,
        entries: if known { Vec::new() } else { peers.list() },
    }
}

fn on_entry_beat(cx: &EntryContext, beat: EntryBeat) {
    cx.metrics.heartbeat("entry");
    let mut peers = cx.peers();
    // Heartbeats list other entries, so one peer in the settings is enough to find all of them.
    let listed: Vec<_> = beat.peers.iter().filter_map(|peer| peer.datagrams.parse().ok()).collect();
    peers.add_hints(&listed);
    peers.record_beat(beat, cx.clock.now());
}

fn tick(cx: &EntryContext, link_tasks: &mut LinkTasks) {
    let now = cx.clock.now();
    let lost = cx.change_membership(|membership| {
        let lost = membership.tick(now);
        let publish = !lost.is_empty();
        (lost, publish)
    });
    for agent in lost {
        spdlog::warn!("agent {agent} sends no heartbeats any more");
        cx.remove_agent(&agent);
        link_tasks.0.remove(&agent);
    }
    cx.peers().tick(now);
    gauges::record(cx);
}
