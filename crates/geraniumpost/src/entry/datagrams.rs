use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_core::requests::MembershipChange;
use geraniumpost_schema::{Adopt, Datagram, EntryBeat, Heartbeat, HeartbeatAck, Name, ToAgent};
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::link_keeper::{Target, keep_link};
use super::pauses::Pauses;
use super::{EntryContext, gauges};
use crate::datagram_socket::DatagramSocket;
use crate::drop_reason::reason;

/// Interval at which silent agents are looked for.
const TICK: Duration = Duration::from_millis(100);

/// The tasks that keep a link to each agent; each ends when its target is dropped.
#[derive(Debug, Default)]
struct LinkTasks(HashMap<Name, watch::Sender<Target>>);

/// Hears agents and entries until the process ends.
pub async fn hear(cx: Arc<EntryContext>, socket: Arc<DatagramSocket>) {
    let mut link_tasks = LinkTasks::default();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pauses = Pauses::new(cx.clock.now());
    loop {
        let (from, received) = tokio::select! {
            received = socket.receive() => received,
            _ = ticks.tick() => {
                if pauses.may_judge(cx.clock.now(), cx.settings.heartbeat_ms) {
                    tick(&cx, &mut link_tasks);
                }
                continue;
            }
        };
        match received {
            Ok(Datagram::Heartbeat(beat)) => {
                link_tasks.aim(&cx, &beat);
                heartbeat(&cx, &socket, from, &beat).await;
            }
            Ok(Datagram::EntryBeat(beat)) => entry_beat(&cx, beat),
            Ok(Datagram::HeartbeatAck(_)) => cx.metrics.dropped("datagram", "unexpected", 1),
            Err(error) => {
                spdlog::debug!("datagram from {from}: {error}");
                cx.metrics.dropped("datagram", reason(&error), 1);
            }
        }
    }
}

/// Announces this entry to the others at each interval until the process ends.
pub async fn announce(cx: Arc<EntryContext>, socket: Arc<DatagramSocket>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(cx.settings.heartbeat_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for sequence in 1.. {
        ticks.tick().await;
        announce_once(&cx, &socket, sequence).await;
    }
}

async fn announce_once(cx: &EntryContext, socket: &DatagramSocket, sequence: u64) {
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
    /// Starts a task that keeps a link to a new agent, or tells it that the agent has moved.
    fn aim(&mut self, cx: &Arc<EntryContext>, beat: &Heartbeat) {
        let Ok(address) = beat.address.parse() else { return };
        let target = Target { name: beat.agent.clone(), address, incarnation: beat.incarnation };
        let Some(target_tx) = self.0.get(&beat.agent) else {
            let (tx, rx) = watch::channel(target);
            tokio::spawn(keep_link(Arc::clone(cx), rx));
            self.0.insert(beat.agent.clone(), tx);
            return;
        };
        target_tx.send_if_modified(|present| {
            let moved = *present != target;
            *present = target;
            moved
        });
    }
}

async fn heartbeat(
    cx: &Arc<EntryContext>,
    socket: &DatagramSocket,
    from: SocketAddr,
    beat: &Heartbeat,
) {
    cx.metrics.heartbeat("agent");
    let now = cx.clock.now();
    let heard = cx.change_membership(|membership| {
        let heard = membership.record_heartbeat(beat, now);
        (heard, heard.needs_snapshot())
    });
    if heard == MembershipChange::Stale {
        return;
    }
    if heard.needs_snapshot() {
        spdlog::info!("agent {} {heard}", beat.agent);
    }
    compare_revisions(cx, beat);
    let ack = acknowledge(cx, beat);
    socket.send(&Datagram::HeartbeatAck(ack), from).await;
}

/// Brings the one of the two with the older configuration up to date.
fn compare_revisions(cx: &EntryContext, beat: &Heartbeat) {
    let in_force = cx.config.active().load();
    if beat.config_revision > in_force.revision() {
        let wanted = cx.config.offered(&beat.agent, beat.config_revision);
        super::links::fetch(cx, &wanted);
    } else if beat.config_revision < in_force.revision()
        && let Some(link) = cx.links.to_incarnation(&beat.agent, beat.incarnation)
    {
        let head = ToAgent::Adopt(Adopt { revision: in_force.revision() });
        link.send_with(head, in_force.json().clone());
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

fn entry_beat(cx: &EntryContext, beat: EntryBeat) {
    cx.metrics.heartbeat("entry");
    let mut peers = cx.peers();
    // An entry tells of others, so one address in the settings is enough to find all.
    let told: Vec<_> = beat.peers.iter().filter_map(|peer| peer.datagrams.parse().ok()).collect();
    peers.add_hints(&told);
    peers.record_beat(beat, cx.clock.now());
}

fn tick(cx: &EntryContext, link_tasks: &mut LinkTasks) {
    let now = cx.clock.now();
    let dead = cx.change_membership(|membership| {
        let dead = membership.tick(now);
        let publish = !dead.is_empty();
        (dead, publish)
    });
    for agent in dead {
        spdlog::warn!("agent {agent} has gone silent");
        cx.remove_agent(&agent);
        link_tasks.0.remove(&agent);
    }
    cx.peers().tick(now);
    gauges::record(cx);
}
