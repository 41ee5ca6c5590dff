use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_schema::{AgentState, Datagram, Heartbeat, HeartbeatAck, Resources};
use tokio::time::MissedTickBehavior;

use super::AgentContext;
use super::tasks::TaskFigures;
use crate::datagram_socket::DatagramSocket;
use crate::drop_reason::reason;

/// Announces the agent at each interval until the process ends.
pub async fn announce(cx: Arc<AgentContext>, socket: Arc<DatagramSocket>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(cx.settings.heartbeat_ms));
    // After a pause of the process, one heartbeat is enough.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        announce_once(&cx, &socket).await;
    }
}

/// Announces the agent to every entry known.
pub async fn announce_once(cx: &AgentContext, socket: &DatagramSocket) {
    let addresses: Vec<SocketAddr> = cx.entries().addresses();
    let beat = heartbeat(cx);
    cx.heartbeat_sent(beat.sequence);
    let datagram = Datagram::Heartbeat(beat);
    for address in addresses {
        socket.send(&datagram, address).await;
    }
}

/// Takes in the entries' answers until the process ends.
pub async fn hear(cx: Arc<AgentContext>, socket: Arc<DatagramSocket>) {
    loop {
        let (from, received) = socket.receive().await;
        match received {
            Ok(Datagram::HeartbeatAck(ack)) if ack.incarnation == cx.me.incarnation => {
                acknowledged(&cx, ack);
            }
            Ok(_) => cx.metrics.dropped("datagram", "unexpected", 1),
            Err(error) => {
                spdlog::debug!("datagram from {from}: {error}");
                cx.metrics.dropped("datagram", reason(&error), 1);
            }
        }
    }
}

fn acknowledged(cx: &AgentContext, ack: HeartbeatAck) {
    cx.metrics.heartbeat("entry");
    cx.grant(&ack);
    cx.entries().told(ack.entries);
}

fn heartbeat(cx: &AgentContext) -> Heartbeat {
    let settings = &cx.settings;
    let TaskFigures { term, reserved, tasks } = cx.task_figures();
    Heartbeat {
        agent: cx.me.name.clone(),
        incarnation: cx.me.incarnation,
        sequence: cx.next_sequence(),
        service: cx.service_name(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        rack: settings.rack.clone(),
        address: settings.announce.unwrap_or(settings.listen).to_string().into(),
        state: if cx.is_draining() { AgentState::Draining } else { AgentState::Ready },
        slots: cx.service().slots,
        load: cx.requests().load(),
        config_revision: cx.config.active().load().revision(),
        entries_digest: cx.entries().digest(),
        term,
        has_worker: settings.worker.is_some(),
        capacity: capacity(cx),
        reserved,
        tasks,
    }
}

/// Returns the VM's resources as the settings give them.
fn capacity(cx: &AgentContext) -> Resources {
    let settings = &cx.settings;
    Resources {
        milli_cpus: settings.milli_cpus,
        memory_mb: settings.memory_mb,
        accelerators: settings.accelerators,
    }
}
